#pragma once

#include "daemon/latencyhistogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace Samphirepitch
{

/** Counts requests by outcome. Each request counts in exactly one member. */
struct OutcomeCounts {
    std::uint64_t served = 0; /**< complete and correct response */
    std::uint64_t failed = 0; /**< any other error, or a response with a wrong body */
    std::uint64_t unknown = 0; /**< no response within the caller's timeout, or the balancer reported an unknown outcome */
    std::uint64_t notRun = 0; /**< reported as not run, for a reason other than overload */
    std::uint64_t refused = 0; /**< reported as not run because of overload */
    std::uint64_t wrongService = 0; /**< the response names another service or came from another address */

    std::uint64_t total() const;
    OutcomeCounts &operator+=(const OutcomeCounts &other);
};

/** The measurements of a group of callers. */
struct GroupStatistics {
    std::string name;
    std::uint64_t started = 0; /**< requests; repeats do not count */
    OutcomeCounts outcomes; /**< outcomes of all requests */
    OutcomeCounts peakOutcomes; /**< outcomes of the requests of the second half of each swing */
    LatencyHistogram shortLatency; /**< served requests except stragglers, from the intended send time */
    LatencyHistogram stragglerLatency; /**< served stragglers, from the intended send time */
    std::map<std::string, std::uint64_t> servedBy; /**< served requests by backend server */
    std::uint64_t unanswered = 0; /**< requests without any response; they also count as unknown */
    std::uint64_t repeats = 0; /**< repeated sends of requests */
    std::uint64_t duplicates = 0; /**< responses in excess of the number of sends of their request */
    std::uint64_t late = 0; /**< responses after the request ended, unless it was reported as not run */
    std::uint64_t crossed = 0; /**< responses on another flow than their request, or without a request */
    std::uint64_t contradictions = 0; /**< results of requests that were reported as not run before */
    std::uint64_t extraRuns = 0; /**< responses to non-idempotent requests that say that the server ran the request more than once */
    std::uint64_t brokenFlows = 0; /**< changes of the backend server of a flow */
    std::uint64_t flows = 0; /**< opened flows */
    std::uint64_t feeds = 0; /**< notifications sent */
    std::uint64_t seen = 0; /**< received notifications of backend servers */
    std::uint64_t unreadable = 0; /**< received datagrams that are unknown or malformed messages */
    std::uint64_t sendErrors = 0; /**< datagrams that the socket refused, and flows that could not be opened */

    /** Returns the served requests of the busiest backend server divided by the mean of all that served any; 0 if none did. */
    double imbalance() const;

    /** Adds the measurements of @p other; the name stays. */
    void merge(const GroupStatistics &other);
};

} // namespace Samphirepitch
