#include "core/clock.h"

#include <catch2/catch.hpp>

#include <ctime>

using namespace Samphirepitch;

namespace
{

/** Returns the time since the start of the machine, suspensions included. */
TimePoint bootTime()
{
    std::timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

TEST_CASE("the clock of the operating system counts the time of a suspension", "[core][clock]")
{
    // Guards against decisions by a view that seems fresh because the clock stood still. On a machine that was never suspended, all
    // monotonic clocks of the system agree.
    const TimePoint before = bootTime();
    const TimePoint now = SteadyClock().now();
    CHECK(before <= now);
    CHECK(now <= bootTime());
}
