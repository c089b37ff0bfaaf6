#pragma once

#include "core/clock.h"
#include "core/eventsink.h"
#include "core/metricsource.h"
#include "core/random.h"
#include "stream/discovery.h"
#include "stream/flowplacement.h"
#include "stream/flowtracker.h"
#include "stream/peernews.h"
#include "stream/serverdirectory.h"
#include "stream/serverfailuredetector.h"
#include "stream/streamconfiguration.h"
#include "stream/streamcounters.h"
#include "stream/streamobserver.h"
#include "stream/viewage.h"

#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** What to do with a packet. */
struct StreamDecision {
    /** The ways out of an instance. */
    enum class Action {
        Forward, /**< to the server, with the token */
        Reset, /**< to the client, who may try again at once */
        Drop,
    };

    Action action = Action::Drop;
    StreamOutcome outcome = StreamOutcome::UnknownToken;
    const StreamServer *server = nullptr; /**< only of Forward; valid until the router is called again */
    std::uint32_t token = 0; /**< only of Forward */
};

/** A server that a connection should be made to. */
struct ProbeTarget {
    std::uint32_t token = 0; /**< of the incarnation that is looked into */
    std::string id;
    Endpoint address;
};

/**
 * Decides where each packet of a stream flow goes. A new flow gets a server by load and evidence; the token that its packets carry
 * afterwards names the server, so that an instance that never saw the flow forwards it as well.
 */
class StreamRouter : public MetricSource
{
public:
    /** What the router needs; everything outlives it. */
    struct Dependencies {
        const Clock &clock;
        RandomSource &random;
        EventSink &events;
        const ServerSelector &selector;
        StreamObserver &observer;
    };

    /**
     * What the list of servers proves holds for this long by itself; afterwards only as long as the list is confirmed, because the server
     * may have started again under its id: a process takes about as long to start and to take flows.
     */
    static constexpr std::chrono::milliseconds endProofLifetime { 1500 };
    /** A list of servers that was not confirmed for longer has a gap, in which entries may have lapsed: two calls to the store. */
    static constexpr std::chrono::milliseconds maxConfirmationGap { 3000 };

    /**
     * @param failureDomain of this instance; its servers are preferred
     * @param maxFlows flows that are tracked for load and evidence
     */
    StreamRouter(Dependencies dependencies, std::string failureDomain, std::size_t maxFlows);

    /** Decides about one packet of a client. */
    StreamDecision route(const StreamPacket &packet);

    /** Counts and reports a datagram of @p size bytes that is no packet. */
    void recordUnreadable(std::size_t size);

    /** Puts a configuration in force, unless one with the same or a higher revision is. @return whether it is new */
    bool applyConfiguration(StreamConfiguration configuration);

    /**
     * Takes the complete list of servers at @p revision of the store.
     * @param unreadable ids of entries that could not be read; what is known of such a server stays
     */
    void replaceServers(const std::vector<StreamServer> &servers, const std::vector<std::string> &unreadable, std::uint64_t revision,
        TimePoint confirmedAt);

    /** Takes the entry of one server. */
    void updateServer(const StreamServer &server);

    /** Takes the removal of an entry at @p revision of the store. */
    void removeServer(const std::string &id, std::uint64_t revision);

    /** Takes changes that lead from a revision that is known to @p updates' own; they were complete at @p confirmedAt. */
    void applyServerUpdates(const ServerUpdates &updates, TimePoint confirmedAt);

    /** The list of servers was complete at @p time, by the store or by another instance that had it from there. */
    void confirmServers(TimePoint time);

    /** No configuration newer than the one in force existed at @p time, up to @p revision of the store. */
    void confirmConfiguration(std::uint64_t revision, TimePoint time);

    /** Returns how far the views go, for other instances. */
    ViewMark viewMark() const;

    /** Returns the servers that ended since the last call, by proof of this instance. */
    std::vector<EndedServer> takeEndedServers();

    /** Returns up to @p most servers that a connection should be made to now, and counts them as asked; the others stay due. */
    std::vector<ProbeTarget> takeDueProbes(std::size_t maxCount = std::numeric_limits<std::size_t>::max());

    /** Takes the result of a connection that was begun at @p begun. */
    void recordProbeResult(std::uint32_t token, ConnectResult result, TimePoint probeStart);

    /** Another instance found that an incarnation of a server ended; this instance looks for itself before it resets flows. */
    void handleEndedServer(const EndedServer &ended);

    /** Looks into late answers and forgets what has expired; to be called every few tens of milliseconds. */
    void tick();

    /** Returns the resets that became due since the last call. */
    std::vector<StreamReset> takeResets();

    /** Returns whether routes and servers are known. */
    bool isReady() const;

    const StreamConfiguration &configuration() const;
    const ServerDirectory &directory() const;
    const FlowTracker &flows() const;
    const ServerFailureDetector &failureDetector() const;
    const ServerLatencyTracker &latencyTracker() const;

    void writeMetrics(MetricWriter &writer) const override;

private:
    StreamDecision routeOpening(const StreamPacket &packet, const StreamRoute &route);
    StreamDecision routeSubsequent(const StreamPacket &packet, const StreamRoute &route);
    StreamDecision place(const StreamPacket &packet, const StreamRoute &route, bool isRetransmission);
    StreamDecision refuse(const StreamPacket &packet, StreamOutcome outcome);
    StreamDecision drop(const StreamPacket &packet, StreamOutcome outcome);
    StreamDecision forward(const DirectoryRecord &record, StreamOutcome outcome);
    void trackPacket(const StreamPacket &packet, std::uint32_t token);
    void applyChanges(const DirectoryChanges &changes);
    void endServer(const DirectoryRecord &record, std::string_view proof);
    void resetFlowsOfSilentServer(std::uint32_t token);
    bool isEndProven(std::uint32_t token) const;
    bool hasServerFailedSince(const StreamFlow &flow) const;
    bool mayRetry(const StreamFlow &flow) const;
    std::optional<StreamOutcome> resetReason(const StreamPacket &packet, const StreamRoute &route, std::uint32_t token) const;
    void resetAll(const std::vector<StreamFlow> &flows, StreamOutcome outcome);
    void confirmRemovals();
    void confirmRecoveries();
    void logFlowEvent(EventSeverity severity, std::string_view name, const StreamPacket &packet, std::vector<EventField> fields);
    void logServerStatus(const DirectoryRecord &record, std::string_view evidence);

    const Clock &m_clock;
    EventSink &m_events;
    StreamObserver &m_observer;
    ServerDirectory m_directory;
    ServerFailureDetector m_failureDetector;
    ServerLatencyTracker m_latencyTracker;
    FlowTracker m_flows;
    FlowPlacement m_placement;
    StreamConfiguration m_configuration;
    ViewAge m_configurationAge;
    ViewAge m_serversAge;
    StreamCounters m_counters;
    std::vector<StreamReset> m_resets;
    std::vector<std::uint32_t> m_unconfirmedRemovals; // tokens of unlisted servers that are not known to have ended
    std::vector<EndedServer> m_endedServers;
    std::uint64_t m_configurationCheckedRevision = 0;
    TimePoint m_confirmationGapEnd {}; // when the list of servers was confirmed again after a gap
    TimePoint m_nextExpiry {};
};

} // namespace Samphirepitch
