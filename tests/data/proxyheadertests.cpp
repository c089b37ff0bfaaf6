#include "data/proxyheader.h"

#include <catch2/catch.hpp>

#include <array>
#include <vector>

using namespace Samphirepitch;

namespace
{

std::vector<std::uint8_t> datagram(const ProxyHeader &header, std::size_t payloadSize)
{
    std::vector<std::uint8_t> bytes(ProxyHeader::maxSize);
    bytes.resize(header.encode(bytes));
    bytes.insert(bytes.end(), payloadSize, 0x55);
    return bytes;
}

ProxyHeader fullHeader()
{
    return ProxyHeader({ .source = Endpoint(0x7f000001, 40000),
        .destination = Endpoint(0x7f000a01, 7000),
        .deadline = 1767225600123ULL,
        .cancelledRequest = 77,
        .load = LoadReport { 2, 5 },
        .hops = 1,
        .acceptedByOwner = true });
}

} // namespace

TEST_CASE("a proxy header is decoded as it was encoded", "[data][proxyheader]")
{
    const auto bytes = datagram(fullHeader(), 10);
    std::span<const std::uint8_t> payload;
    const auto header = ProxyHeader::decode(bytes, payload);
    REQUIRE(header.has_value());
    CHECK(*header == fullHeader());
    CHECK(payload.size() == 10);
}

TEST_CASE("each truncation of a proxy header is refused", "[data][proxyheader]")
{
    // Guards against reading past the end of a datagram.
    const auto bytes = datagram(fullHeader(), 0);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const std::vector<std::uint8_t> truncated(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size));
        std::span<const std::uint8_t> payload;
        CHECK_FALSE(ProxyHeader::decode(truncated, payload).has_value());
    }
}

TEST_CASE("TLVs of other systems are skipped", "[data][proxyheader]")
{
    auto bytes = datagram(ProxyHeader({ .source = Endpoint(1, 2), .destination = Endpoint(3, 4) }), 0);
    const std::array<std::uint8_t, 5> foreign { 0x04, 0, 2, 9, 9 };
    bytes.insert(bytes.end(), foreign.begin(), foreign.end());
    bytes[15] = static_cast<std::uint8_t>(bytes[15] + foreign.size());
    std::span<const std::uint8_t> payload;
    const auto header = ProxyHeader::decode(bytes, payload);
    REQUIRE(header.has_value());
    CHECK(header->source() == Endpoint(1, 2));
    CHECK(payload.empty());
}
