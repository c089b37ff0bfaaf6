#pragma once

#include "core/clock.h"
#include "core/eventsink.h"
#include "core/metricsource.h"
#include "evacuation/evacuationview.h"
#include "stream/discovery.h"
#include "stream/gossipcodec.h"
#include "stream/serverdirectory.h"
#include "stream/streamconfiguration.h"
#include "stream/viewage.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/**
 * What an instance knows of the store: the configuration and the servers in force, with their positions and ages. A view never goes back.
 * The caller applies the changes of servers that a method returns.
 */
class StoreView : public MetricSource
{
public:
    /** recordTick() is called every 25 ms. If it was not called for this long, the process had no CPU time, was stopped or was suspended.
     */
    static constexpr std::chrono::milliseconds stallThreshold { 200 };
    /** Two calls to the store take this long. If the list of servers is unconfirmed for longer, entries may have expired in this gap. */
    static constexpr std::chrono::milliseconds maxConfirmationGap { 3000 };

    /**
     * The state of the store that a confirmation describes is at most this much older than the confirmation says: with the default wait,
     * the response to a long poll takes up to 1.6 s, and messages between instances take the rest.
     */
    static constexpr std::chrono::milliseconds maxConfirmationDelay { 2000 };

    /** An evacuation has to be in force this long after the store has acknowledged it. */
    static constexpr std::chrono::milliseconds evacuationDelay { 5000 };
    /** Other instances send two rounds of gossip in this time, by which an instance hears of evacuations after a stall. */
    static constexpr std::chrono::milliseconds stallRecoveryTime { 1000 };

    /** The objects must outlive the view. */
    StoreView(const Clock &clock, EventSink &events);

    /**
     * Puts a configuration in force.
     * @return the changes by servers of services that come into use, or nothing if the configuration is not newer than the one in force
     */
    std::optional<DirectoryChanges> applyConfiguration(StreamConfiguration configuration);

    /**
     * Replaces the list of servers; see StreamRouter::replaceServers(). The caller confirms the list after it has applied the changes.
     * @return the changes, or nothing if the list is of an earlier era
     */
    std::optional<DirectoryChanges> replaceServers(
        const std::vector<StreamServer> &servers, const std::vector<std::string> &unreadable, StorePosition position);

    /**
     * Applies changes of servers; see StreamRouter::applyServerUpdates(). The caller confirms the list after it has applied the changes.
     * @return the changes, or nothing if they are of another era
     */
    std::optional<DirectoryChanges> applyServerUpdates(const ServerUpdates &updates);

    /**
     * Returns whether this process may lack an evacuation that it would know without a stall that has just ended, so that no new flow may
     * be placed. It waits for a message, but not for long: an instance that is cut off goes on with what it knows.
     */
    bool mayLackEvacuations() const;

    /** Records that the list of servers was complete at @p time. */
    void confirmServers(TimePoint time);

    /** Records that at @p time the store, up to @p position, held no configuration newer than the one in force. */
    void confirmConfiguration(StorePosition position, TimePoint time);

    /** Records a call of StreamRouter::tick(), and a stall of the process if the last one is too long ago. */
    void recordTick();

    /** Returns the earliest time at which a message may have arrived; see StreamRouter::earliestArrival(). */
    TimePoint earliestArrival(TimePoint after) const;

    /** Returns how recent the views are, for other instances. */
    ViewStatus viewStatus() const;

    /** Returns whether a configuration, a list of servers and, if they are used, the evacuations are known. */
    bool isReady() const;

    /**
     * Returns the time until which a missing route is proof: if the configuration in force lacks the route of a flow that was open at that
     * time, the route was removed. For later flows it proves nothing: a newer configuration, which this instance doesn't know yet, may
     * have the route, and another instance may have opened the flow by it.
     * @return the time, before which the store held nothing newer than the configuration in force; TimePoint() if there is no such time
     */
    TimePoint routeRemovalsProvenUntil() const;

    /** Returns whether the list is confirmed and entries that expired in the last gap are back. */
    bool isContinuous() const;

    /** Returns when the list of servers was confirmed again after a gap. */
    TimePoint confirmationGapEnd() const;

    const ViewAge &serversAge() const;
    const ViewAge &configurationAge() const;
    const StreamConfiguration &configuration() const;
    const ServerDirectory &directory() const;
    ServerDirectory &directory();
    const EvacuationView &evacuations() const;
    EvacuationView &evacuations();

    /** Records an event about a flow, with the versions and ages of the views. */
    void recordFlowEvent(
        EventSeverity severity, std::string_view name, Endpoint client, Endpoint service, std::vector<EventField> fields) const;

    void writeMetrics(MetricWriter &writer) const override;

private:
    DirectoryChanges useTargetServices();
    void logUnusedEntries();
    void advanceCheckedPosition(StorePosition position);
    bool recordEra(std::string_view view, StorePosition before, StorePosition now);

    const Clock &m_clock;
    EventSink &m_events;
    ServerDirectory m_directory;
    EvacuationView m_evacuations;
    StreamConfiguration m_configuration;
    ViewAge m_configurationAge;
    ViewAge m_serversAge;
    StorePosition m_configurationCheckedPosition;
    std::size_t m_loggedUnusedCount = 0; // of entries whose service is not in use
    TimePoint m_confirmationGapEnd {}; // when the list of servers was confirmed again after a gap
    TimePoint m_lastTick {}; // TimePoint() before the first one
    TimePoint m_stallStart {}; // of the last stall
    TimePoint m_stallEnd {};
};

} // namespace Samphirepitch
