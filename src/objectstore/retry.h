#pragma once

#include "core/error.h"
#include "objectstore/retryschedule.h"

#include <asio/awaitable.hpp>

namespace Samphirepitch
{

/** Returns whether a read that failed with @p kind can be retried. */
inline bool mayRetryRead(ErrorKind kind)
{
    return kind == ErrorKind::Unavailable || kind == ErrorKind::RateLimited || kind == ErrorKind::DeadlineExceeded
        || kind == ErrorKind::OutcomeUnknown;
}

/**
 * Calls @p read until it succeeds or fails with an error that cannot be retried, or until the deadline of @p schedule.
 * @param read takes the deadline of an attempt and returns an awaitable Result
 * @param schedule delays between the attempts
 * @return the result of the last attempt
 */
template<typename Read>
auto retryRead(Read read, RetrySchedule schedule) -> decltype(read(TimePoint()))
{
    while (true) {
        auto result = co_await read(schedule.attemptDeadline());
        if (result || !mayRetryRead(result.error().kind())) {
            co_return result;
        }
        const bool retry = co_await schedule.wait();
        if (!retry) {
            co_return result;
        }
    }
}

} // namespace Samphirepitch
