#pragma once

#include "core/clock.h"
#include "core/eventsink.h"
#include "core/random.h"
#include "stream/flowtracker.h"
#include "stream/gossipcodec.h"
#include "stream/serverdirectory.h"
#include "stream/serverfailuredetector.h"
#include "stream/serverlatencytracker.h"
#include "stream/storeview.h"
#include "stream/streamcounters.h"
#include "stream/streampacket.h"

#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

/** A backend server that should be probed. */
struct ProbeTarget {
    std::uint32_t token = 0; /**< token of the probed incarnation */
    std::string id;
    Endpoint address;
};

/**
 * Decides from the evidence about backend servers which of them have ended, and resets the flows that they no longer serve. The evidence is
 * the list of servers, packets of clients, probes, and reports of other instances.
 */
class ServerLifecycle
{
public:
    /** The objects that the lifecycle uses. All of them must outlive it. */
    struct Dependencies {
        const Clock &clock;
        RandomSource &random;
        EventSink &events;
        StoreView &view;
        FlowTracker &flows;
        StreamCounters &counters;
    };

    /**
     * If the list of servers proves that a server has ended, the proof holds for this long even if the list is not confirmed again.
     * Afterwards it holds only while the list is confirmed, because the server may have restarted with the same id. A process takes about
     * this long to start and to receive flows.
     */
    static constexpr std::chrono::milliseconds endProofLifetime { 1500 };

    /** @param failureDomain the failure domain of this instance; its servers are preferred as a comparison for probes */
    ServerLifecycle(Dependencies dependencies, std::string failureDomain);

    /** Acts on changes of the list of servers. */
    void applyChanges(const DirectoryChanges &changes);

    /** Returns the servers whose end this instance has detected since the last call. */
    std::vector<EndedServer> takeEndedServers();

    /** Returns servers whose probes are due; see StreamRouter::takeDueProbes(). */
    std::vector<ProbeTarget> takeDueProbes(std::size_t maxCount);

    /** Records the result of a probe that was started at @p probeStart, and resets the flows of a server that has failed. */
    void recordProbeResult(std::uint32_t token, ConnectResult result, TimePoint probeStart);

    /** Handles another instance's report that a server has ended. */
    void handleEndedServer(const EndedServer &ended);

    /** Records that a server was running at @p time. */
    void recordLiveness(std::uint32_t token, TimePoint time);

    /** Checks which unlisted servers have ended and which servers have recovered, and forgets servers that expired. */
    void expire();

    /** Resets the flows of a server that is silent, if their clients may retry. */
    void resetFlowsOfSilentServer(std::uint32_t token);

    /** Returns why the client of a packet to a server has to be reset, or nothing. */
    std::optional<StreamOutcome> resetReason(const StreamPacket &packet, const StreamRoute &route, std::uint32_t token) const;

    /** Resets the clients of flows and logs the evidence. */
    void resetAll(const std::vector<StreamFlow> &flows, StreamOutcome outcome);

    /** Adds the evidence about a server to the fields of a reset. */
    void appendResetEvidence(std::uint32_t token, TimePoint openSince, std::vector<EventField> &fields) const;

    /** Returns the resets that have become due since the last call. */
    std::vector<StreamReset> takeResets();

    /** Returns the tokens of servers that were forgotten since the last call. */
    std::vector<std::uint32_t> takeForgotten();

    /** Logs the status of a server. */
    void logServerStatus(const DirectoryRecord &record, std::string_view evidence);

    ServerFailureDetector &failureDetector();
    const ServerFailureDetector &failureDetector() const;
    ServerLatencyTracker &latencyTracker();
    const ServerLatencyTracker &latencyTracker() const;

private:
    void endServer(const DirectoryRecord &record, std::string_view proof);
    void endReusedServer(const DirectoryRecord &record);
    const DirectoryRecord *findReferenceServer(const ProbeTarget &suspected);
    bool isReachedByOther(const DirectoryRecord &record) const; // by the process of another listed entry, which answers itself
    bool isEndProven(std::uint32_t token) const;
    bool hasServerFailedSince(const StreamFlow &flow) const;
    bool mayRetry(const StreamFlow &flow) const;
    void confirmRemovals();
    void confirmRecoveries();

    const Clock &m_clock;
    RandomSource &m_random;
    EventSink &m_events;
    StoreView &m_view;
    FlowTracker &m_flows;
    StreamCounters &m_counters;
    std::string m_failureDomain;
    ServerFailureDetector m_failureDetector;
    ServerLatencyTracker m_latencyTracker;
    // By token: unlisted servers whose end is not proven, with the last time after the removal at which they are known to have run.
    std::unordered_map<std::uint32_t, TimePoint> m_unconfirmedRemovals;
    std::vector<EndedServer> m_endedServers;
    std::vector<StreamReset> m_resets;
    std::vector<std::uint32_t> m_forgotten;
};

} // namespace Samphirepitch
