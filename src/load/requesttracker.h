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

/** A request as the callers of a group keep it. */
struct CallerRequest {
    std::uint32_t id = 0; /**< unique in the group */
    std::size_t flowIndex = 0; /**< place of the flow among the open flows of the group */
    std::uint64_t flow = 0; /**< the flow that sent it; each flow of a run has a number of its own */
    TimePoint intendedSendTime; /**< when it had to be sent; latency counts from here */
    bool straggler = false;
    bool peak = false; /**< whether it was sent in the second half of a swing */
};

/** Decides what becomes of the requests of a group: outcomes, repeats, duplicates and broken flows. */
class RequestTracker
{
public:
    /**
     * @param profile what the callers do
     * @param figures gets the counts
     */
    RequestTracker(const CallerProfile &profile, GroupStatistics &statistics);

    /** Returns the body that the server has to send back for a request. */
    static std::string requestBody(std::uint64_t flow, std::uint32_t id, std::size_t size);

    /** Records the first send of a request. */
    void recordSent(const CallerRequest &request);

    /** Judges an answer that arrived on @p flow from the address @p from. */
    void recordResponse(std::uint64_t flow, Endpoint from, const CallerResponse &response, TimePoint now);

    /** Judges a notice of the server that holds @p flow. */
    void recordSeen(std::uint64_t flow, const SeenNotification &notification);

    /** Lists the unanswered requests that are to be sent again now. */
    std::vector<CallerRequest> takeDueRepeats(TimePoint now);

    /** Ends requests whose timeout passed, and forgets those whose late answers no longer matter. */
    void expire(TimePoint now);

    /** Ends all pending requests, as at the end of a run. */
    void expireAll();

    /** Forgets a flow that ended. */
    void removeFlow(std::uint64_t flow);

    /** Returns whether @p flow has pending requests. */
    bool hasPendingRequests(std::uint64_t flow) const;

    std::size_t pending() const;

private:
    struct Entry {
        CallerRequest request;
        std::uint64_t sends = 1;
        std::uint64_t responses = 0;
        bool reportedUnknown = false; /**< an answer said unknown; the answer to another send may still come */
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
    // Timeouts are equal inside a group, so these queues are sorted by time.
    std::deque<std::uint32_t> m_timeoutQueue;
    std::deque<std::uint32_t> m_removalQueue;
    std::deque<ScheduledRepeat> m_repeatQueue;
    std::size_t m_pending = 0;
};

} // namespace Samphirepitch
