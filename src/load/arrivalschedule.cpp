#include "load/arrivalschedule.h"

#include <algorithm>
#include <cmath>

namespace Samphirepitch
{

namespace
{

constexpr double maxInterval = 1e6; // seconds; longer than any run, and still representable in nanoseconds

} // namespace

ArrivalSchedule::ArrivalSchedule(const CallerProfile &profile, TimePoint start, RandomSource &random)
    : m_profile(profile)
    , m_start(start)
    , m_random(random)
    , m_next(start)
{
    advance();
}

TimePoint ArrivalSchedule::next() const
{
    return m_next;
}

void ArrivalSchedule::advance()
{
    if (m_profile.rate <= 0 && m_profile.peakRate <= 0) {
        m_next = TimePoint::max();
        return;
    }
    // The exponential distribution is memoryless: an interval that crosses the end of a phase can be drawn again from that end,
    // with the rate of the next phase.
    while (m_next != TimePoint::max()) {
        const double rate = rateAt(m_next);
        const TimePoint end = phaseEnd(m_next);
        if (rate > 0) {
            const double interval = std::min(maxInterval, -std::log(1 - m_random.uniform()) / rate);
            const TimePoint candidate = m_next + std::chrono::nanoseconds(std::llround(interval * 1e9));
            if (candidate < end) {
                m_next = candidate;
                return;
            }
        }
        m_next = end;
    }
}

bool ArrivalSchedule::isPeak(TimePoint time) const
{
    if (m_profile.swingPeriod.count() == 0) {
        return false;
    }
    const std::chrono::nanoseconds period = m_profile.swingPeriod;
    return (time - m_start) % period >= period / 2;
}

double ArrivalSchedule::rateAt(TimePoint time) const
{
    return isPeak(time) ? m_profile.peakRate : m_profile.rate;
}

TimePoint ArrivalSchedule::phaseEnd(TimePoint time) const
{
    if (m_profile.swingPeriod.count() == 0) {
        return TimePoint::max();
    }
    const std::chrono::nanoseconds half = std::chrono::nanoseconds(m_profile.swingPeriod) / 2;
    return time + half - (time - m_start) % half;
}

} // namespace Samphirepitch
