#pragma once

#include "model/configgeneration.h"
#include "routing/flowexceptiontable.h"
#include "routing/flowexceptiontransport.h"
#include "routing/flowtable.h"
#include "routing/routedecision.h"
#include "routing/serverhealth.h"
#include "routing/servicetable.h"

#include <map>
#include <memory>
#include <set>
#include <utility>

namespace Samphirepitch
{

class MemberView;

/** Settings of a Router. */
struct RouterSettings {
    std::string instance; /**< id of this instance */
    std::size_t maxFlows = 300000; /**< maximum number of flows in the flow table, and of flow exceptions */
};

/** Counters of a Router since its start. */
struct RouterCounters {
    std::uint64_t newFlows = 0; /**< flows added to the flow table as new */
    std::uint64_t brokenFlows = 0; /**< flows that went to another server because theirs was down or its drain deadline had passed */
    std::uint64_t forwarded = 0; /**< packets of moved buckets that were forwarded to the owner or the successor */
    std::uint64_t exceptionsSent = 0; /**< flow keys sent to owners and successors of moved buckets */
    std::uint64_t exceptionsLost = 0; /**< flow keys that the full table of flow exceptions did not take */
};

/**
 * Decides where the packets of an instance go (docs/design.md, section 6). When a change of a pool moves buckets of the lookup table
 * to other servers, the flows of these buckets stay on their servers as flow exceptions. The instances with the highest and the second
 * highest rendezvous rank for a moved bucket, its owner and its successor, hold the exceptions of the bucket and decide about packets
 * of flows that another instance doesn't know. The router is not thread-safe, and does no input or output except through its
 * FlowExceptionTransport.
 */
class Router
{
public:
    static constexpr std::uint8_t maxHops = 2; /**< maximum number of times that a packet is forwarded between instances */
    static constexpr std::chrono::seconds expiryInterval { 10 }; /**< interval between removals of expired flow exceptions */
    static constexpr std::size_t maxEarlyUpdates = 256; /**< kept updates for services that are not known yet; 8 MB at the most */

    /**
     * @param settings id of this instance and limits
     * @param transport sends flow exceptions and must outlive the router; null if there are no other instances
     */
    Router(RouterSettings settings, FlowExceptionTransport *transport);

    /**
     * Applies a configuration generation. New flows of the buckets that it moves go to their previous servers until activate().
     * @param generation configuration generation; ignored unless it is higher than the current one
     * @param now current time
     */
    void configurationChanged(const ConfigGeneration &generation, TimePoint now);

    /** Applies a member view, and sends flow exceptions to members that have become owner or successor of a moved bucket. */
    void memberViewChanged(std::shared_ptr<const MemberView> view, TimePoint now);

    /**
     * Activates a generation that all live members of the reachable failure domains have prepared. From then on, a flow of a moved bucket
     * that the owner doesn't know is new and goes to the new server.
     * @param generation configuration generation; reduced to the current one if higher, ignored if below the active one
     */
    void activate(std::uint64_t generation);

    /**
     * Adds flow exceptions that another instance sent to this one as owner or successor of moved buckets. Those of a service that this
     * instance doesn't know yet are added with the generation that has the service.
     */
    void flowExceptionsReceived(const FlowExceptionUpdate &update, TimePoint now);

    /** Marks the update @p sequence as acknowledged by @p instance. */
    void flowExceptionsDelivered(const std::string &instance, std::uint64_t sequence);

    /**
     * Applies the state of a backend server that was reported by an instance that probes it.
     * @param server address of the backend server
     * @param up whether the server is up
     * @param at time at which that instance saw the change; a state older than the known one is ignored
     */
    void serverStateReported(Endpoint server, bool up, WallTime at);

    /**
     * Decides about a packet of a flow. Allocates no memory if the flow is in the flow table.
     * @param service service of the packet, from the current service table
     * @param key flowKey() of the packet
     * @param now current time
     * @param hops number of times that the packet was forwarded between instances, 0..maxHops
     */
    RouteDecision route(const RoutedService &service, std::uint64_t key, TimePoint now, std::uint8_t hops);

    /** Removes idle flows from the next @p slots slots of the flow table, and expired flow exceptions once per expiryInterval. */
    void sweep(TimePoint now, std::size_t slots);

    const ServiceTable &services() const;
    const ServerRegistry &servers() const;
    const FlowTable &flows() const;
    const MemberView &view() const;
    ServerHealth &health();
    const RouterCounters &counters() const;
    std::size_t exceptionCount() const;

    /** Returns the generation in use; 0 before the first one. */
    std::uint64_t heldGeneration() const;

    /** Returns the highest generation whose flow exceptions have all been acknowledged by the owners and successors. */
    std::uint64_t preparedGeneration() const;

    /** Returns the highest generation whose moved buckets send new flows to their new servers. */
    std::uint64_t activeGeneration() const;

private:
    using Owners = std::vector<const Member *>;

    RouteDecision routeUnknown(const RoutedService &service, std::uint64_t key, TimePoint now, std::uint8_t hops);
    RouteDecision routeViaOwner(const RoutedService &service, const BucketMove &move, std::uint8_t hops) const;
    bool ownsAnyMove(const RoutedService &service, std::uint64_t key, TimePoint now) const;
    RouteDecision placeNewFlow(const RoutedService &service, std::uint64_t key, TimePoint now);
    ServerIndex healthyServer(const RoutedService &service, std::uint64_t key, ServerIndex preferred, TimePoint now) const;
    bool isUsable(const RoutedService &service, ServerIndex server, TimePoint now) const;
    Owners owners(const MemberView &view, std::uint64_t service, const BucketMove &move) const;
    void recordException(const RoutedService &service, std::uint64_t key, ServerIndex server, TimePoint now);
    void sendExceptionsToOwners(const MemberView *previousView, std::uint64_t onlyGeneration, TimePoint now);
    void sendQueuedExceptions();
    void updatePreparedGeneration();

    RouterSettings m_settings;
    FlowExceptionTransport *m_transport;
    ServerRegistry m_servers;
    ServerHealth m_health;
    FlowTable m_flows;
    FlowExceptionTable m_exceptions;
    std::vector<FlowExceptionUpdate> m_earlyUpdates; /**< of later generations than that in use, for services that it lacks */
    std::shared_ptr<const ServiceTable> m_services;
    std::shared_ptr<const MemberView> m_view;
    RouterCounters m_counters;
    std::map<std::pair<std::string, ServerIndex>, std::vector<std::uint64_t>> m_queuedKeys; /**< keys to send, by receiver and server */
    std::set<std::pair<std::string, std::uint64_t>> m_undelivered; /**< receiver and sequence of unacknowledged updates */
    TimePoint m_nextExpiry {};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_prepared = 0;
    std::uint64_t m_active = 0;
};

} // namespace Samphirepitch
