#include "objectstore/retryschedule.h"

#include <algorithm>

namespace Samphirepitch
{

namespace
{
// The platform responds within milliseconds, so a request without a response after a second is considered lost.
constexpr std::chrono::seconds attemptTimeout { 1 };
} // namespace

RetrySchedule::RetrySchedule(const Clock &clock, Timer &timer, RandomSource &random, TimePoint deadline)
    : m_clock(clock)
    , m_timer(timer)
    , m_random(random)
    , m_deadline(deadline)
{
}

asio::awaitable<bool> RetrySchedule::wait()
{
    const auto half = m_nextBound / 2;
    const auto jitterRange = static_cast<std::uint64_t>(half.count()) + 1;
    const TimePoint nextAttempt = m_clock.now() + half + std::chrono::nanoseconds(m_random.below(jitterRange));
    if (nextAttempt >= m_deadline) {
        co_return false;
    }
    m_nextBound = std::min<std::chrono::nanoseconds>(m_nextBound * 2, maxBound);
    co_await m_timer.waitUntil(nextAttempt);
    co_return true;
}

TimePoint RetrySchedule::attemptDeadline() const
{
    return std::min<TimePoint>(m_deadline, m_clock.now() + attemptTimeout);
}

} // namespace Samphirepitch
