#include "core/hybridclock.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

namespace
{

WallTime at(std::int64_t milliseconds)
{
    return WallTime(std::chrono::milliseconds(milliseconds));
}

} // namespace

TEST_CASE("timestamps increase although the wall clock stands still or goes back", "[core][hybridclock]")
{
    HybridClock clock;
    const HybridTime first = clock.tick(at(1000));
    CHECK(first == HybridTime { 1000, 0 });
    CHECK(clock.tick(at(1000)) == HybridTime { 1000, 1 });
    CHECK(clock.tick(at(900)) == HybridTime { 1000, 2 });
    CHECK(clock.tick(at(1001)) == HybridTime { 1001, 0 });
}

TEST_CASE("a timestamp is later than each observed timestamp", "[core][hybridclock]")
{
    HybridClock clock;
    CHECK(clock.observe({ 5000, 7 }, at(1000)) == HybridTime { 5000, 8 });
    CHECK(clock.observe({ 4000, 9 }, at(1000)) == HybridTime { 5000, 9 });
    CHECK(clock.clampedCount() == 0);
}

TEST_CASE("a wrong remote clock does not advance the local clock by more than a minute", "[core][hybridclock]")
{
    HybridClock clock;
    CHECK(clock.observe({ 900000, 3 }, at(1000)).wallMs == 61000);
    CHECK(clock.clampedCount() == 1);
}
