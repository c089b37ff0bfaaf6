#include "core/random.h"
#include "platform/platformpacketcodec.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Samphirepitch;

namespace
{

std::vector<std::uint8_t> bytesOf(const std::string &hex)
{
    std::vector<std::uint8_t> bytes;
    for (std::size_t at = 0; at + 1 < hex.size(); at += 2) {
        bytes.push_back(static_cast<std::uint8_t>(std::stoul(hex.substr(at, 2), nullptr, 16)));
    }
    return bytes;
}

// The examples of the platform's documentation, as hexadecimal bytes.
const std::string openingPacket = "9c4101bbc612000164400007000000002000"
                                  "0000a1b2c3d500001122334400000000";
const std::string resetPacket = "01bb9c4164400007c6120001000000000800"
                                "00000000000000000000000000000000";

} // namespace

TEST_CASE("the platform's example of an opening packet is decoded", "[adapter][platformpacketcodec]")
{
    const auto packet = PlatformPacketCodec().decode(bytesOf(openingPacket));
    REQUIRE(packet.has_value());
    CHECK(packet->client.toString() == "100.64.0.7:40001");
    CHECK(packet->service.toString() == "198.18.0.1:443");
    CHECK(packet->opens);
    CHECK_FALSE(packet->finishes);
    CHECK_FALSE(packet->resets);
    CHECK(packet->token == 0);
    CHECK(packet->sequence == 0x11223344);
    CHECK(packet->length == 0);
}

TEST_CASE("a reset is encoded as in the platform's example", "[adapter][platformpacketcodec]")
{
    std::array<std::uint8_t, PacketCodec::maxResetSize> buffer {};
    buffer.fill(0xff);
    const StreamReset reset { Endpoint(0x64400007, 40001), Endpoint(0xc6120001, 443), 0 };
    const std::size_t size = PlatformPacketCodec().encode(reset, buffer);
    CHECK(std::vector<std::uint8_t>(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(size)) == bytesOf(resetPacket));
}

TEST_CASE("writing the token changes no other bytes of a packet", "[adapter][platformpacketcodec]")
{
    std::vector<std::uint8_t> bytes = bytesOf(openingPacket);
    const std::vector<std::uint8_t> before = bytes;
    PlatformPacketCodec().writeToken(bytes, 0x01020304);
    CHECK(PlatformPacketCodec().decode(bytes)->token == 0x01020304);
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        const bool isToken = at >= 12 && at < 16;
        CHECK((isToken || bytes[at] == before[at]));
    }
}

TEST_CASE("the prefix of a server is its number in big-endian order", "[adapter][platformpacketcodec]")
{
    CHECK(PlatformPacketCodec().prefix(0x0a856ca9df) == ServerPrefix { 0, 0, 0, 0x0a, 0x85, 0x6c, 0xa9, 0xdf });
}

TEST_CASE("packets whose length does not match the header are refused", "[adapter][platformpacketcodec]")
{
    const std::vector<std::uint8_t> packet = bytesOf(openingPacket);
    const PlatformPacketCodec codec;
    for (std::size_t size = 0; size < packet.size(); ++size) {
        CAPTURE(size);
        CHECK_FALSE(codec.decode(std::span(packet).first(size)).has_value());
    }
    std::vector<std::uint8_t> longer = packet;
    longer.push_back(0);
    CHECK_FALSE(codec.decode(longer).has_value());
    longer[25] = 1;
    CHECK(codec.decode(longer).has_value());
}

TEST_CASE("random bytes never crash the decoder", "[adapter][platformpacketcodec]")
{
    SeededRandom random(20261204);
    const PlatformPacketCodec codec;
    for (int round = 0; round < 20000; ++round) {
        std::vector<std::uint8_t> bytes(random.below(64));
        for (std::uint8_t &byte : bytes) {
            byte = static_cast<std::uint8_t>(random.next());
        }
        const auto packet = codec.decode(bytes);
        CHECK((!packet || bytes.size() == 34U + packet->length));
    }
}
