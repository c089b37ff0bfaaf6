#include "objectstore/retryschedule.h"

#include <algorithm>

namespace Samphirepitch
{

namespace
{
// The platform answers in milliseconds; an attempt without an answer for a second is lost.
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
    const auto half = m_next / 2;
    const auto jitter = static_cast<std::uint64_t>(half.count()) + 1;
    const TimePoint next = m_clock.now() + half + std::chrono::nanoseconds(m_random.below(jitter));
    if (next >= m_deadline) {
        co_return false;
    }
    m_next = std::min<std::chrono::nanoseconds>(m_next * 2, longest);
    co_await m_timer.waitUntil(next);
    co_return true;
}

TimePoint RetrySchedule::attemptDeadline() const
{
    return std::min<TimePoint>(m_deadline, m_clock.now() + attemptTimeout);
}

} // namespace Samphirepitch
