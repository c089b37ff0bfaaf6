#include "core/clock.h"

#include <ctime>

namespace Samphirepitch
{

namespace
{
// 2026-01-01T00:00:00Z, a realistic date for the wall times of tests.
constexpr std::chrono::milliseconds manualEpoch { 1767225600000 };
} // namespace

TimePoint SteadyClock::now() const
{
    // std::chrono::steady_clock reads CLOCK_MONOTONIC, which stands still while the machine is suspended.
    std::timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime SteadyClock::wallNow() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

TimePoint ManualClock::now() const
{
    // Not 0: a default TimePoint stands for an unset time, for example in ServerHealth.
    return TimePoint(std::chrono::seconds(1000) + m_elapsed);
}

WallTime ManualClock::wallNow() const
{
    return WallTime(manualEpoch + std::chrono::duration_cast<std::chrono::milliseconds>(m_elapsed));
}

void ManualClock::advance(std::chrono::nanoseconds step)
{
    m_elapsed += step;
}

} // namespace Samphirepitch
