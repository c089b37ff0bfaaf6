#pragma once

#include "coldstart/coldsharepolicy.h"
#include "core/clock.h"
#include "core/eventsink.h"
#include "core/metricsource.h"
#include "core/random.h"
#include "evacuation/evacuationpolicy.h"
#include "shortage/flowadmission.h"
#include "stream/discovery.h"
#include "stream/flowplacement.h"
#include "stream/flowtracker.h"
#include "stream/gossipcodec.h"
#include "stream/instanceroster.h"
#include "stream/serverdirectory.h"
#include "stream/serverfailuredetector.h"
#include "stream/serverlifecycle.h"
#include "stream/storeview.h"
#include "stream/streamconfiguration.h"
#include "stream/streamcounters.h"
#include "stream/streamobserver.h"
#include "stream/unroutedflows.h"

#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

class LoadReporter;
class LoadView;

/** The decision about one packet. */
struct StreamDecision {
    /** What the instance does with the packet. */
    enum class Action {
        Forward, /**< Sends it to the server, with the token set. */
        Reset, /**< Sends a reset to the client, which may retry at once. */
        Drop,
        Hold, /**< Keeps the packet until takeResolvedRequests() names its flow. */
    };

    Action action = Action::Drop;
    StreamOutcome outcome = StreamOutcome::UnknownToken;
    const StreamServer *server = nullptr; /**< set only for Forward; valid until the next call of the router */
    std::uint32_t token = 0; /**< set only for Forward */
};

/**
 * Decides where each packet of a stream flow is sent. A new flow is placed by the load, status and latency of the servers. All its later
 * packets carry a token that identifies the server, so that instances that have never seen the flow can forward them as well.
 */
class StreamRouter : public MetricSource
{
public:
    /** The objects that the router uses. All of them must outlive it. */
    struct Dependencies {
        const Clock &clock;
        RandomSource &random;
        EventSink &events;
        const ServerSelector &selector;
        StreamObserver &observer;
    };

    /**
     * @param failureDomain the failure domain of this instance; its servers are preferred
     * @param maxFlows the largest number of flows that are tracked for load and failure detection
     */
    StreamRouter(Dependencies dependencies, std::string failureDomain, std::size_t maxFlows);

    /** Decides where a packet of a client is sent, and updates the state of its flow. */
    StreamDecision route(const StreamPacket &packet);

    /** Counts and logs a datagram of @p size bytes that can't be decoded. */
    void recordUnreadable(std::size_t size);

    /**
     * Puts a configuration in force. The flows that have no route in it are no longer forwarded; each is reset once it is proven that its
     * route was removed, see StoreView::routeRemovalsProvenUntil().
     * @return false if the configuration is not newer than the one in force, which then stays in force
     */
    bool applyConfiguration(StreamConfiguration configuration);

    /**
     * Records that the store, at @p position, holds a newer configuration that can't be read. The routes in force stay, but one that they
     * lack may be in the newer configuration. Other instances learn this with the configuration in force.
     */
    void recordUnreadableConfiguration(StorePosition position);

    /**
     * Replaces the list of servers. A list of an earlier era of the store than the known one is ignored. The first list of a later era
     * counts as the end of a gap in the confirmations, because it may be an older copy.
     * @param servers all listed servers
     * @param unreadable the ids of entries that could not be read; what is known of such a server stays
     * @param position the position of the store at which the list was read
     * @param confirmedAt when the list was complete
     */
    void replaceServers(const std::vector<StreamServer> &servers, const std::vector<std::string> &unreadable, StorePosition position,
        TimePoint confirmedAt);

    /** Adds or updates one server. */
    void updateServer(const StreamServer &server);

    /** Marks a server as unlisted because its entry was removed at @p position. */
    void removeServer(const std::string &id, StorePosition position);

    /**
     * Applies changes of servers. Changes of another era of the store than the known one are ignored.
     * @param updates the changes from a position that the router knows up to their own position
     * @param confirmedAt when the list of servers was complete with these changes
     */
    void applyServerUpdates(const ServerUpdates &updates, TimePoint confirmedAt);

    /**
     * Returns the earliest time at which a message may have arrived that is processed now. It may have waited during a stall of this
     * process, so that what it says about other instances or the store is older than it seems.
     * @param after a time at which it had not arrived yet
     */
    TimePoint earliestArrival(TimePoint after) const
    {
        return m_view.earliestArrival(after);
    }

    /** Records that the list of servers was complete at @p time, according to the store or to an instance that has read it. */
    void confirmServers(TimePoint time)
    {
        m_view.confirmServers(time);
    }

    /** Records that at @p time the store, up to @p position, held no configuration newer than the one in force. */
    void confirmConfiguration(StorePosition position, TimePoint time);

    /** Returns how recent the views of the store are, for other instances. */
    ViewStatus viewStatus() const
    {
        return m_view.viewStatus();
    }

    /** Returns the servers whose end this instance has detected since the last call. */
    std::vector<EndedServer> takeEndedServers();

    /**
     * Returns up to @p maxCount servers whose probes are due and marks these probes as started. The other probes stay due. If one of the
     * servers is suspected, a trusted server follows whose answer shows that the link of this instance works.
     */
    std::vector<ProbeTarget> takeDueProbes(std::size_t maxCount = std::numeric_limits<std::size_t>::max());

    /** Records the result of a probe that was started at @p probeStart, and resets the flows of a server that has failed. */
    void recordProbeResult(std::uint32_t token, ConnectResult result, TimePoint probeStart);

    /** Handles another instance's report that a server has ended. This instance probes the server itself before it resets flows. */
    void handleEndedServer(const EndedServer &ended);

    /**
     * Requests probes for overdue responses. Once per second, it also removes expired state and checks which unlisted servers have ended
     * and which servers have recovered. Must be called every few tens of milliseconds.
     */
    void tick();

    /** Returns the resets that have become due since the last call. */
    std::vector<StreamReset> takeResets();

    /** Returns the flows whose held packets were decided about since the last call. Released packets have to be routed once more. */
    std::vector<HeldResolution> takeResolvedRequests();

    /** Returns whether packets of requests are held, so that tick() should be called every few milliseconds. */
    bool holdsRequests() const;

    /** Sets the instances that share the servers with this one. The roster must outlive the router. */
    void useRoster(const InstanceRoster &roster);

    /** Sets what other instances report about the load. The view must outlive the router. */
    void useLoadView(const LoadView &loadView);

    /** Sets who is told of responses, and what several instances see of the servers. Both must outlive the router. */
    void useLoadReporter(LoadReporter &reporter, const SlowdownView &slowdownView)
    {
        m_loadReporter = &reporter;
        m_placement.useSlowdownView(slowdownView);
    }

    /** Returns the load of the services with several priorities. */
    const FlowAdmission &admission() const
    {
        return m_admission;
    }

    /** Returns the evacuated failure domains, to whose servers no new flow is sent. They are off until they are enabled. */
    EvacuationView &evacuations()
    {
        return m_view.evacuations();
    }

    /** Returns whether a configuration, a list of servers and, if they are enabled, the evacuations are known. */
    bool isReady() const
    {
        return m_view.isReady();
    }

    const StreamConfiguration &configuration() const
    {
        return m_view.configuration();
    }

    const ServerDirectory &directory() const
    {
        return m_view.directory();
    }

    const FlowTracker &flows() const
    {
        return m_flows;
    }

    const ServerFailureDetector &failureDetector() const
    {
        return m_lifecycle.failureDetector();
    }

    const ServerLatencyTracker &latencyTracker() const
    {
        return m_lifecycle.latencyTracker();
    }

    void writeMetrics(MetricWriter &writer) const override;

private:
    StreamDecision routeUnrouted(const StreamPacket &packet);
    StreamDecision routeOpening(const StreamPacket &packet, const StreamRoute &route);
    StreamDecision routeSubsequent(const StreamPacket &packet, const StreamRoute &route);
    StreamDecision place(const StreamPacket &packet, const StreamRoute &route, bool isRetransmission);
    StreamDecision refuse(const StreamPacket &packet, StreamOutcome outcome);
    StreamDecision forwardCopy(const StreamPacket &packet, const StreamRoute &route, const DirectoryRecord &record);
    StreamDecision hold();
    StreamDecision drop(const StreamPacket &packet, StreamOutcome outcome);
    StreamDecision forward(const DirectoryRecord &record, StreamOutcome outcome);
    void trackPacket(const StreamPacket &packet, std::uint32_t token);
    void endUnroutedFlows();
    void applyChanges(const DirectoryChanges &changes);
    void forgetServers();
    void tickAdmission();
    void logFlowEvent(EventSeverity severity, std::string_view name, const StreamPacket &packet, std::vector<EventField> fields);

    const Clock &m_clock;
    EventSink &m_events;
    StreamObserver &m_observer;
    StoreView m_view;
    FlowTracker m_flows;
    UnroutedFlows m_unroutedFlows;
    StreamCounters m_counters;
    ServerLifecycle m_lifecycle;
    EvacuationPolicy m_evacuationPolicy;
    ColdSharePolicy m_coldShares;
    FlowPlacement m_placement;
    FlowAdmission m_admission;
    const InstanceRoster *m_roster = nullptr; // without one, this instance is the only one
    const LoadView *m_loadView = nullptr;
    LoadReporter *m_loadReporter = nullptr;
    std::size_t m_instanceCount = 1;
    TimePoint m_nextSlotCount {}; // when the slots and instances are counted again
    std::uint64_t m_serverChanges = 0; // packets of open flows whose token names another server than the packet before
    TimePoint m_nextExpiry {};
};

} // namespace Samphirepitch
