#pragma once

#include "core/error.h"
#include "objectstore/retryschedule.h"

#include <asio/awaitable.hpp>

namespace Samphirepitch
{

/** Returns whether a read that failed with @p kind may succeed later. */
inline bool mayRetryRead(ErrorKind kind)
{
    return kind == ErrorKind::Unavailable || kind == ErrorKind::RateLimited || kind == ErrorKind::DeadlineExceeded
        || kind == ErrorKind::OutcomeUnknown;
}

/**
 * Calls @p read until it succeeds, fails for good, or the deadline of @p schedule comes.
 * @param read takes the deadline of one attempt and returns an awaitable of a Result
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
