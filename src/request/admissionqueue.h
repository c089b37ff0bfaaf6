#pragma once

#include "core/clock.h"
#include "request/requestid.h"
#include "routing/routedecision.h"

#include <tl/expected.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace Samphirepitch
{

class RandomSource;

/** A request that waits at the instance for a free slot of a backend server. It has not been sent to any server. */
struct QueuedRequest {
    RequestId request;
    TimePoint deadline;
    std::uint64_t wallDeadline = 0; /**< milliseconds since the Unix epoch */
    bool idempotent = false;
    std::vector<std::uint8_t> payload;
};

/** Why the queue refused a request, and when the caller should try again. */
struct AdmissionRefusal {
    RefusalReason reason = RefusalReason::QueueFull;
    std::chrono::milliseconds retryAfter { 0 }; /**< time until the next try */
};

/** The queue of the requests of a service that wait for a free slot of a backend server, bounded by length and by deadline. */
class AdmissionQueue
{
public:
    /** Assumed service time of a request until some were measured. */
    static constexpr std::chrono::milliseconds initialServiceTime { 10 };

    /**
     * Sets the limits of the queue.
     * @param limit maximum number of requests in the queue
     * @param slots maximum number of requests that this instance may have outstanding at the servers; 0 counts as 1
     */
    void setLimits(std::size_t limit, std::size_t slots);

    /**
     * Adds a request to the queue.
     * @param request request to add
     * @param now current time
     * @param random source of the jitter of the retry time, which keeps refused callers from returning at the same time
     * @return nothing; QueueFull if the queue is at its limit, DeadlineTooShort if the request can't start before its deadline
     */
    tl::expected<void, AdmissionRefusal> push(QueuedRequest request, TimePoint now, RandomSource &random);

    /** Returns whether the queue contains the request. */
    bool contains(const RequestId &request) const;

    /** Removes and returns the first request whose deadline has not passed; returns nothing if there is none. */
    std::optional<QueuedRequest> take(TimePoint now);

    /** Removes and returns the first request whose deadline has passed; returns nothing if there is none. */
    std::optional<QueuedRequest> takeExpired(TimePoint now);

    /** Records the time from sending a request to a server until its response. */
    void recordServiceTime(std::chrono::nanoseconds serviceTime);

    /** Returns the estimated time that a request which arrives now would wait. */
    std::chrono::nanoseconds expectedWait() const;

    std::size_t size() const;

private:
    std::deque<QueuedRequest> m_waiting;
    std::size_t m_limit = 0;
    std::size_t m_slots = 1;
    std::chrono::nanoseconds m_serviceTime { initialServiceTime }; /**< exponential moving average */
};

} // namespace Samphirepitch
