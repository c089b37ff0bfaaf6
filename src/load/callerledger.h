#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "load/callermessage.h"
#include "load/groupfigures.h"
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
    std::size_t slot = 0; /**< place of the flow among the open flows of the group */
    std::uint64_t flow = 0; /**< the flow that sent it; each flow of a run has a number of its own */
    TimePoint intended; /**< when it had to be sent; latency counts from here */
    bool straggler = false;
    bool peak = false; /**< whether it was sent in the second half of a swing */
};

/** Decides what becomes of the requests of a group: outcomes, repeats, duplicates and broken flows. */
class CallerLedger
{
public:
    /**
     * @param profile what the callers do
     * @param figures gets the counts
     */
    CallerLedger(const CallerProfile &profile, GroupFigures &figures);

    /** Returns the body that the server has to send back for a request. */
    static std::string requestBody(std::uint64_t flow, std::uint32_t id, std::size_t size);

    /** Records the first send of a request. */
    void sent(const CallerRequest &request);

    /** Judges an answer that arrived on @p flow from the address @p from. */
    void answered(std::uint64_t flow, Endpoint from, const CallerAnswer &answer, TimePoint now);

    /** Judges a notice of the server that holds @p flow. */
    void seen(std::uint64_t flow, const SeenNotice &notice);

    /** Lists the unanswered requests that are to be sent again now. */
    std::vector<CallerRequest> takeRepeats(TimePoint now);

    /** Ends requests whose timeout passed, and forgets those whose late answers no longer matter. */
    void expire(TimePoint now);

    /** Ends all pending requests, as at the end of a run. */
    void expireAll();

    /** Forgets a flow that ended. */
    void forgetFlow(std::uint64_t flow);

    /** Returns whether @p flow has pending requests. */
    bool isBusy(std::uint64_t flow) const;

    std::size_t pending() const;

private:
    struct Entry {
        CallerRequest request;
        std::uint64_t sends = 1;
        std::uint64_t answers = 0;
        bool unknown = false; /**< an answer said unknown; the answer to another send may still come */
        bool ended = false;
        bool notRun = false;
    };

    struct RepeatAt {
        TimePoint time;
        std::uint32_t id = 0;
    };

    struct FlowState {
        std::string server;
        std::uint64_t pending = 0;
    };

    std::uint64_t OutcomeCounts::*judge(const Entry &entry, Endpoint from, const CallerAnswer &answer) const;
    void end(Entry &entry, std::uint64_t OutcomeCounts::*outcome);
    void endServed(Entry &entry, const CallerAnswer &answer, TimePoint now);
    void noteAfterEnd(const Entry &entry, const CallerAnswer &answer);

    const CallerProfile m_profile;
    GroupFigures &m_figures;
    std::unordered_map<std::uint32_t, Entry> m_entries;
    std::unordered_map<std::uint64_t, FlowState> m_flows;
    // Timeouts are equal inside a group, so these queues are sorted by time.
    std::deque<std::uint32_t> m_byTimeout;
    std::deque<std::uint32_t> m_byForgetting;
    std::deque<RepeatAt> m_byRepeat;
    std::size_t m_pending = 0;
};

} // namespace Samphirepitch
