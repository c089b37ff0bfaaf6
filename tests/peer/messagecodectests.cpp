#include "core/random.h"
#include "peer/framecodec.h"
#include "peer/messagecodec.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Samphirepitch;

namespace
{

Member::Fields sampleMember()
{
    return { "entry-1", "lokoja", Endpoint(0x7f000001, 7000), Endpoint(0x7f000001, 7001), 42, MemberState::Suspect };
}

/** Returns one message of each type with all fields set. */
std::vector<Message> allMessages()
{
    const ContentName name = ContentName::of("part");
    const InstanceStatus instance { "entry-1", MemberState::Leaving, 7, 6, 1234 };
    const DomainStatus status { "lokoja", "entry-1", 99, 7, 6, 1, 2, { instance } };
    const Event event { "entry-1", 3, { 5, 6 }, EventSeverity::Warning, "link_closed", { { "peer", "entry-2" } } };
    return { Hello { 1, "entry-1", 42, "lokoja", "dewnet", 7, Endpoint(0x7f000001, 7000), Endpoint(0x7f000001, 7001) },
        Heartbeat { 42, 7, 7, 6, 15, { sampleMember() }, { DomainProgress { "okene", 7, 6, 99 } } }, Announce { { 7, name } },
        PartRequest { { name, ContentName::of("other") } }, PartReply { name, std::string("\0part", 5) },
        MemberEvents { { sampleMember() } }, ServerStates { { ServerHealthChange { "pool", "server", false, { 1, 2 } } } },
        FlowExceptionBatch { "pondwatch", 7, { 1, ~0ULL }, Endpoint(0x7f000001, 9000), "okene", 11 }, StatusQuery {},
        StatusReply { { status } }, EventsQuery { 9 }, EventsReply { { event } }, DrainRequest {}, DrainReply { true },
        GenerationReport { 6, 5, 7, 3, { instance } }, FlowExceptionAck { 11 } };
}

/** Applies one to four random mutations, each of which changes a byte, inserts a byte or truncates the text. */
std::string mutate(std::string bytes, RandomSource &random)
{
    for (std::uint64_t count = random.below(4) + 1; count > 0 && !bytes.empty(); --count) {
        const std::size_t position = random.below(bytes.size());
        switch (random.below(4)) {
        case 0:
            bytes[position] = static_cast<char>(random.next());
            break;
        case 1:
            bytes.resize(position);
            break;
        case 2:
            bytes.insert(position, 1, static_cast<char>(random.next()));
            break;
        default:
            bytes[position] = static_cast<char>(0xc0 + random.below(0x40)); // markers of long strings, arrays and maps
        }
    }
    return bytes;
}

} // namespace

TEST_CASE("each message type is decoded as it was encoded", "[peer][messagecodec]")
{
    REQUIRE(allMessages().size() == std::variant_size_v<Message>);
    for (const Message &message : allMessages()) {
        const Envelope envelope { { 1700000000000, 5 }, message };
        INFO(messageTypeName(message.index()));
        const auto decoded = MessageCodec::decode(MessageCodec::encode(envelope));
        REQUIRE(decoded.has_value());
        CHECK(*decoded == envelope);
    }
}

TEST_CASE("invalid messages are refused with a typed error", "[peer][messagecodec]")
{
    const auto kindOf = [](std::string_view body) {
        const auto decoded = MessageCodec::decode(body);
        REQUIRE_FALSE(decoded.has_value());
        return decoded.error().kind();
    };
    const auto encode = [](Message message) { return MessageCodec::encode({ {}, std::move(message) }); };
    SECTION("an unknown type")
    {
        CHECK(kindOf("\x93\x7f\x01\x01") == ErrorKind::Malformed);
    }
    SECTION("nil in place of a missing field, and an additional field")
    {
        std::string body = encode(EventsQuery { 9 });
        body.back() = '\xc0';
        CHECK(kindOf(body) == ErrorKind::Malformed);
        body = encode(StatusQuery {});
        body[0] = '\x94';
        CHECK(kindOf(body + '\x01') == ErrorKind::Malformed);
    }
    SECTION("fields above their limits")
    {
        CHECK(kindOf(encode(PartRequest { std::vector<ContentName>(MessageLimits::partNames + 1) })) == ErrorKind::TooLarge);
        CHECK(kindOf(encode(MemberEvents { std::vector<MemberEvent>(MessageLimits::memberEvents + 1) })) == ErrorKind::TooLarge);
        CHECK(kindOf(encode(Hello { 1, std::string(MessageLimits::id + 1, 'x') })) == ErrorKind::TooLarge);
        CHECK(kindOf(encode(PartReply { {}, std::string(MessageLimits::partSize + 1, 'x') })) == ErrorKind::TooLarge);
    }
    SECTION("an array that states a size of 4 billion elements, for which no memory may be reserved")
    {
        CHECK(kindOf(std::string("\x94\x04\x01\x01\xdd\xff\xff\xff\xff", 9)) == ErrorKind::TooLarge);
    }
}

TEST_CASE("a frame length above the limit is refused before memory is allocated", "[peer][framecodec]")
{
    CHECK(FrameCodec::bodySize({ 0, 0x10, 0x10, 0 }) == FrameCodec::maxBody);
    CHECK(FrameCodec::bodySize({ 0, 0x10, 0x10, 1 }).error().kind() == ErrorKind::TooLarge);
    CHECK(FrameCodec::bodySize({ 0xff, 0xff, 0xff, 0xff }).error().kind() == ErrorKind::TooLarge);
    CHECK(FrameCodec::bodySize({ 0, 0, 0, 0 }).error().kind() == ErrorKind::Malformed);
    CHECK(FrameCodec::encode(std::string(FrameCodec::maxBody + 1, 'x')).error().kind() == ErrorKind::TooLarge);
}

TEST_CASE("mutated frames are decoded or refused, and never crash or exceed a limit", "[peer][messagecodec][framecodec]")
{
    constexpr std::uint64_t seed = 20261204;
    INFO("seed " << seed);
    SeededRandom random(seed);
    const std::vector<Message> messages = allMessages();
    std::size_t accepted = 0;
    constexpr std::size_t rounds = 60000;
    for (std::size_t round = 0; round < rounds; ++round) {
        const Envelope envelope { { random.below(1000), 1 }, messages[round % messages.size()] };
        const std::string frame = mutate(FrameCodec::encode(MessageCodec::encode(envelope)).value(), random);
        if (frame.size() < FrameCodec::headerSize) {
            continue;
        }
        FrameCodec::Header header {};
        std::copy_n(frame.begin(), header.size(), header.begin());
        const auto size = FrameCodec::bodySize(header);
        if (size && *size > FrameCodec::maxBody) {
            FAIL("round " << round << ": length " << *size << " was accepted");
        }
        // A decoded message must be the same after another round of encoding and decoding.
        const auto decoded = MessageCodec::decode(std::string_view(frame).substr(FrameCodec::headerSize));
        if (decoded) {
            ++accepted;
            const auto again = MessageCodec::decode(MessageCodec::encode(*decoded));
            if (!again || !(*again == *decoded)) {
                FAIL("round " << round << ": a decoded message differs after encoding and decoding");
            }
        }
    }
    CHECK(accepted > 0);
    CHECK(accepted < rounds);
}
