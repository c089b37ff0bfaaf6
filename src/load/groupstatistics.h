#pragma once

#include "daemon/latencyhistogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace Samphirepitch
{

/** How requests ended. Each request counts in exactly one of the first six. */
struct OutcomeCounts {
    std::uint64_t served = 0; /**< whole and right answer */
    std::uint64_t failed = 0; /**< another error, or an answer with a wrong body */
    std::uint64_t unknown = 0; /**< no answer by the caller's timeout, or the balancer said so */
    std::uint64_t notRun = 0; /**< not run, for another reason than overload */
    std::uint64_t refused = 0; /**< not run because of overload */
    std::uint64_t wrongService = 0; /**< the answer names another service or came from another address */

    std::uint64_t total() const;
    OutcomeCounts &operator+=(const OutcomeCounts &other);
};

/** What a group of callers measured. */
struct GroupStatistics {
    std::string name;
    std::uint64_t started = 0; /**< requests, without repeats */
    OutcomeCounts outcomes; /**< of all requests */
    OutcomeCounts peakOutcomes; /**< of the requests of the second half of each swing */
    LatencyHistogram shortLatency; /**< served requests without long work, from the intended send time */
    LatencyHistogram stragglerLatency; /**< served requests with long work */
    std::map<std::string, std::uint64_t> servedBy; /**< served requests by backend server */
    std::uint64_t unanswered = 0; /**< the unknown ones without any answer */
    std::uint64_t repeats = 0; /**< requests sent again */
    std::uint64_t duplicates = 0; /**< answers above the number of sends of their request */
    std::uint64_t late = 0; /**< answers after the caller's timeout */
    std::uint64_t crossed = 0; /**< answers that arrived on another flow than their request, or to no request at all */
    std::uint64_t contradictions = 0; /**< results of requests that were reported as not run */
    std::uint64_t extraRuns = 0; /**< answers to non-idempotent requests that a server ran more than once */
    std::uint64_t brokenFlows = 0; /**< changes of the backend server of a flow */
    std::uint64_t flows = 0; /**< flows that were opened */
    std::uint64_t feeds = 0; /**< notifications sent */
    std::uint64_t seen = 0; /**< notices of backend servers received */
    std::uint64_t unreadable = 0; /**< datagrams that are no message for a caller */
    std::uint64_t sendErrors = 0; /**< datagrams that the socket did not take */

    /** Returns the largest number of served requests of a server divided by the mean; 0 if nothing was served. */
    double imbalance() const;

    /** Adds the figures of @p other. */
    void merge(const GroupStatistics &other);
};

} // namespace Samphirepitch
