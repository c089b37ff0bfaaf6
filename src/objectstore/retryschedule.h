#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "objectstore/timer.h"

#include <chrono>

namespace Samphirepitch
{

/** The times between the attempts of one call: doubled each time, with jitter, so that many clients do not retry at once. */
class RetrySchedule
{
public:
    static constexpr std::chrono::milliseconds initialBound { 20 }; /**< upper bound of the first wait */
    static constexpr std::chrono::milliseconds maxBound { 1000 }; /**< upper bound of any wait */

    /** All arguments outlive the object. No wait goes beyond @p deadline. */
    RetrySchedule(const Clock &clock, Timer &timer, RandomSource &random, TimePoint deadline);

    /** Waits before the next attempt. @return false, without waiting, if the deadline comes first */
    asio::awaitable<bool> wait();

    /** Returns the deadline of one attempt: early enough to leave time for another. */
    TimePoint attemptDeadline() const;

private:
    const Clock &m_clock;
    Timer &m_timer;
    RandomSource &m_random;
    TimePoint m_deadline;
    std::chrono::nanoseconds m_nextBound = initialBound;
};

} // namespace Samphirepitch
