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

/** A request that waits at the instance until a slot of a backend server is free. It has not been sent. */
struct QueuedRequest {
    RequestId request;
    TimePoint deadline;
    std::uint64_t wallDeadline = 0; /**< milliseconds since the Unix epoch */
    bool idempotent = false;
    std::vector<std::uint8_t> payload;
};

/** Why a request may not wait, and when the caller should try again. */
struct AdmissionRefusal {
    RefusalReason reason = RefusalReason::QueueFull;
    std::chrono::milliseconds retryAfter { 0 };
};

/** The requests of a service that wait for a slot; bounded by count and by deadline. */
class AdmissionQueue
{
public:
    /** Assumed time of a request until some were measured. */
    static constexpr std::chrono::milliseconds initialServiceTime { 10 };

    /**
     * Sets the limits.
     * @param limit requests that may wait
     * @param slots requests that this instance may have outstanding at the servers
     */
    void setLimits(std::size_t limit, std::size_t slots);

    /**
     * Lets a request wait, or refuses it at once if it can't start before its deadline.
     * @param random jitter of the retry time, so that refused callers don't return together
     */
    tl::expected<void, AdmissionRefusal> push(QueuedRequest request, TimePoint now, RandomSource &random);

    /** Returns whether the request waits here. */
    bool contains(const RequestId &request) const;

    /** Returns the first waiting request whose deadline has not passed. */
    std::optional<QueuedRequest> take(TimePoint now);

    /** Returns a waiting request whose deadline has passed. */
    std::optional<QueuedRequest> takeExpired(TimePoint now);

    /** Notes how long a request took at a server. */
    void recordServiceTime(std::chrono::nanoseconds serviceTime);

    /** Returns when a request that arrives now would start, from now on. */
    std::chrono::nanoseconds expectedWait() const;

    std::size_t size() const;

private:
    std::deque<QueuedRequest> m_waiting;
    std::size_t m_limit = 0;
    std::size_t m_slots = 1;
    std::chrono::nanoseconds m_serviceTime { initialServiceTime };
};

} // namespace Samphirepitch
