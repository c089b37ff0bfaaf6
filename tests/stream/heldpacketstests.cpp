#include "stream/heldpackets.h"

#include <catch2/catch.hpp>

#include <array>

using namespace Samphirepitch;

namespace
{

const TimePoint start = TimePoint() + std::chrono::seconds(100);

std::array<std::uint8_t, 1> packet(std::size_t number)
{
    return { static_cast<std::uint8_t>(number) };
}

} // namespace

TEST_CASE("packets that arrive during the start are returned once and in order", "[stream][heldpackets]")
{
    HeldPackets held;
    CHECK(held.hold(packet(1), start));
    CHECK(held.hold(packet(2), start + std::chrono::milliseconds(5)));
    const auto taken = held.take(start + std::chrono::milliseconds(60));
    REQUIRE(taken.size() == 2);
    CHECK(taken[0].front() == 1);
    CHECK(taken[1].front() == 2);
    CHECK(held.empty());
    CHECK(held.take(start).empty());
}

TEST_CASE("packets that no client waits for any longer are not returned", "[stream][heldpackets]")
{
    // An outage of the store during the start must not lead to a burst of old packets.
    HeldPackets held;
    held.hold(packet(1), start);
    held.hold(packet(2), start + std::chrono::milliseconds(500));
    const auto taken = held.take(start + std::chrono::milliseconds(1000));
    REQUIRE(taken.size() == 1);
    CHECK(taken[0].front() == 2);
}

TEST_CASE("the number of held packets is limited, and expired packets make room", "[stream][heldpackets]")
{
    HeldPackets held;
    for (std::size_t number = 0; number < HeldPackets::maxPackets; ++number) {
        REQUIRE(held.hold(packet(number), start));
    }
    CHECK_FALSE(held.hold(packet(0), start + HeldPackets::maxAge));
    CHECK(held.hold(packet(0), start + HeldPackets::maxAge + std::chrono::milliseconds(1)));
}
