#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "load/callermessage.h"
#include "load/groupstatistics.h"
#include "load/scenario.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

/** A request of a group of callers. */
struct CallerRequest {
    std::uint32_t id = 0; /**< unique in the group */
    std::size_t flowIndex = 0; /**< index of the flow among the open flows of the group */
    std::uint64_t flow = 0; /**< number of the flow that sends it, unique in the group during a run */
    TimePoint intendedSendTime; /**< when the schedule wants it sent; latency counts from here */
    bool straggler = false; /**< whether it has the long work time of the profile */
    bool peak = false; /**< whether it is sent in the second half of a swing */
};

/** Tracks the requests of a group until they end: decides their outcomes and repeats, and counts duplicates and broken flows. */
class RequestTracker
{
public:
    /**
     * @param profile load that the callers offer
     * @param statistics receives the counts and latencies; outlives the tracker
     */
    RequestTracker(const CallerProfile &profile, GroupStatistics &statistics);

    /** Returns the body of a request, of at least @p size bytes, which the server has to send back. It is unique in the group. */
    static std::string requestBody(std::uint64_t flow, std::uint32_t id, std::size_t size);

    /** Records the first send of a request. */
    void recordSent(const CallerRequest &request);

    /**
     * Records a response, and ends its request unless a response to another send may still decide its outcome.
     * @param flow number of the flow that received it
     * @param from source address of the datagram
     * @param response decoded response
     * @param now time of receipt
     */
    void recordResponse(std::uint64_t flow, Endpoint from, const CallerResponse &response, TimePoint now);

    /** Records a notification of the server that holds @p flow. Another server than before counts as a broken flow. */
    void recordSeen(std::uint64_t flow, const SeenNotification &notification);

    /** Returns the unanswered requests that are due to be sent again, and schedules their next repeat. */
    std::vector<CallerRequest> takeDueRepeats(TimePoint now);

    /** Ends requests whose timeout has passed, and removes those that are older than twice the timeout. */
    void expire(TimePoint now);

    /** Ends all pending requests as unknown, at the end of a run. */
    void expireAll();

    /** Removes a flow that was closed. */
    void removeFlow(std::uint64_t flow);

    /** Returns whether @p flow has pending requests. */
    bool hasPendingRequests(std::uint64_t flow) const;

    std::size_t pending() const;

private:
    struct Entry {
        CallerRequest request;
        std::uint64_t sends = 1;
        std::uint64_t responses = 0;
        bool reportedUnknown = false; /**< a response reported an unknown outcome; the response to another send may still arrive */
        bool ended = false;
        bool reportedNotRun = false;
    };

    struct ScheduledRepeat {
        TimePoint time;
        std::uint32_t id = 0;
    };

    struct FlowState {
        std::string server;
        std::uint64_t pending = 0;
    };

    std::uint64_t OutcomeCounts::*classify(const Entry &entry, Endpoint from, const CallerResponse &response) const;
    void end(Entry &entry, std::uint64_t OutcomeCounts::*outcome);
    void endServed(Entry &entry, const CallerResponse &response, TimePoint now);
    void recordAfterEnd(const Entry &entry, const CallerResponse &response);

    const CallerProfile m_profile;
    GroupStatistics &m_statistics;
    std::unordered_map<std::uint32_t, Entry> m_entries;
    std::unordered_map<std::uint64_t, FlowState> m_flows;
    // All requests of a group have the same timeout and repeat interval, so appending keeps these queues sorted by time.
    std::deque<std::uint32_t> m_timeoutQueue;
    std::deque<std::uint32_t> m_removalQueue;
    std::deque<ScheduledRepeat> m_repeatQueue;
    std::size_t m_pending = 0;
};

} // namespace Samphirepitch
