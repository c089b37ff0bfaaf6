#include "data/rpcenvelope.h"

#include <catch2/catch.hpp>
#include <msgpack.hpp>

using namespace Samphirepitch;

namespace
{

std::span<const std::uint8_t> bytesOf(const msgpack::sbuffer &buffer)
{
    return { reinterpret_cast<const std::uint8_t *>(buffer.data()), buffer.size() };
}

} // namespace

TEST_CASE("the three kinds of RPC messages are decoded", "[data][rpcenvelope]")
{
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    SECTION("request")
    {
        packer.pack(std::make_tuple(0, 70000U, std::string("checkin"), std::vector<int> { 1, 2 }));
        const auto envelope = RpcEnvelope::decode(bytesOf(buffer));
        REQUIRE(envelope.has_value());
        CHECK(envelope->kind == RpcKind::Request);
        CHECK(envelope->id == 70000);
        CHECK(envelope->method == "checkin");
    }
    SECTION("response")
    {
        packer.pack(std::make_tuple(1, 5U, msgpack::type::nil_t(), std::string("done")));
        const auto envelope = RpcEnvelope::decode(bytesOf(buffer));
        REQUIRE(envelope.has_value());
        CHECK(envelope->kind == RpcKind::Response);
        CHECK_FALSE(envelope->failed);
    }
    SECTION("refusal of a server")
    {
        const std::map<std::string, std::string> error { { "outcome", "not_run" }, { "reason", "shed" } };
        packer.pack(std::make_tuple(1, 5U, error, msgpack::type::nil_t()));
        const auto envelope = RpcEnvelope::decode(bytesOf(buffer));
        REQUIRE(envelope.has_value());
        CHECK(envelope->failed);
        CHECK(envelope->notRun);
    }
    SECTION("notification")
    {
        packer.pack(std::make_tuple(2, std::string("feed"), std::vector<int> {}));
        const auto envelope = RpcEnvelope::decode(bytesOf(buffer));
        REQUIRE(envelope.has_value());
        CHECK(envelope->kind == RpcKind::Notification);
        CHECK(envelope->method == "feed");
    }
}

TEST_CASE("an incomplete RPC message or one with trailing bytes is refused", "[data][rpcenvelope]")
{
    // Guards invariant 3: a truncated response must not pass as a complete one.
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack(std::make_tuple(1, 5U, msgpack::type::nil_t(), std::vector<std::string> { "a", "bc" }));
    const auto complete = bytesOf(buffer);
    for (std::size_t size = 0; size < complete.size(); ++size) {
        CHECK_FALSE(RpcEnvelope::decode(complete.first(size)).has_value());
    }
    std::vector<std::uint8_t> extended(complete.begin(), complete.end());
    extended.push_back(0);
    CHECK_FALSE(RpcEnvelope::decode(extended).has_value());
}

TEST_CASE("nesting beyond the limit is refused", "[data][rpcenvelope]")
{
    // Guards against exhaustion of stack or time by malicious payloads.
    std::vector<std::uint8_t> bytes { 0x93, 0x02, 0xa1, 'm' };
    bytes.insert(bytes.end(), 40, 0x91);
    bytes.push_back(0xc0);
    const auto envelope = RpcEnvelope::decode(bytes);
    REQUIRE_FALSE(envelope.has_value());
    CHECK(envelope.error() == DecodeError::TooDeep);
}
