#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "objectstore/timer.h"

#include <chrono>

namespace Samphirepitch
{

/** Exponential backoff between the attempts of a call. The jitter prevents many clients from retrying at the same time. */
class RetrySchedule
{
public:
    static constexpr std::chrono::milliseconds initialBound { 20 }; /**< upper bound of the first delay */
    static constexpr std::chrono::milliseconds maxBound { 1000 }; /**< upper bound of any delay */

    /** All references must outlive the schedule. No attempt starts at or after @p deadline. */
    RetrySchedule(const Clock &clock, Timer &timer, RandomSource &random, TimePoint deadline);

    /** Waits until the next attempt is due. @return whether there is one; false, without a delay, if the deadline comes first */
    asio::awaitable<bool> wait();

    /** Returns the deadline of an attempt that starts now: one second from now, but not after the deadline of the call. */
    TimePoint attemptDeadline() const;

private:
    const Clock &m_clock;
    Timer &m_timer;
    RandomSource &m_random;
    TimePoint m_deadline;
    std::chrono::nanoseconds m_nextBound = initialBound;
};

} // namespace Samphirepitch
