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

/** What a router must know about its instance. */
struct RouterSettings {
    std::string instance; /**< id of this instance */
    std::size_t maxFlows = 300000; /**< flows held at most */
};

/** What a router has done so far. */
struct RouterCounters {
    std::uint64_t newFlows = 0;
    std::uint64_t brokenFlows = 0; /**< flows placed anew because their server was down or their drain deadline passed */
    std::uint64_t forwarded = 0; /**< packets of moved buckets that were handed to the owner */
    std::uint64_t exceptionsSent = 0; /**< flow keys */
    std::uint64_t exceptionsLost = 0; /**< flow keys for which there was no room */
};

/**
 * Decides where the packets of an instance go (docs/design.md, section 6). Owns the flow table, the service table, the server
 * registry and the flow exceptions. Not thread-safe; does no input or output except through the transport.
 */
class Router
{
public:
    static constexpr std::uint8_t maxHops = 2;
    static constexpr std::chrono::seconds expiryInterval { 10 }; /**< between passes over the flow exceptions */

    /** @param transport must outlive the router; null if there are no other instances */
    Router(RouterSettings settings, FlowExceptionTransport *transport);

    /** Takes a generation into use; lower or equal generations are ignored. Unknown flows of moved buckets stay where they are. */
    void configurationChanged(const ConfigGeneration &generation, TimePoint now);

    /** Takes a view into use and gives exceptions to members that have become owner or successor of a moved bucket. */
    void memberViewChanged(std::shared_ptr<const MemberView> view, TimePoint now);

    /** Says that all live members have prepared @p generation: flows unknown to the owner of a moved bucket are new from now on. */
    void activate(std::uint64_t generation);

    /** Takes exceptions that another instance sent to this one as owner or successor. */
    void flowExceptionsReceived(const FlowExceptionUpdate &update, TimePoint now);

    /** Says that @p instance has the batch @p sequence. */
    void flowExceptionsDelivered(const std::string &instance, std::uint64_t sequence);

    /**
     * Takes a state of a backend server that was spread by its probers.
     * @param at when the prober saw it
     */
    void serverStateReported(Endpoint server, bool up, WallTime at);

    /**
     * Decides about a packet of a flow. Doesn't allocate for a flow that is held.
     * @param service the service of the packet, of the current service table
     * @param key flowKey() of the packet
     * @param hops how often the packet was forwarded between instances
     */
    RouteDecision route(const RoutedService &service, std::uint64_t key, TimePoint now, std::uint8_t hops);

    /** Removes idle flows of the next @p slots slots and lapsed exceptions. */
    void sweep(TimePoint now, std::size_t slots);

    const ServiceTable &services() const;
    const ServerRegistry &servers() const;
    const FlowTable &flows() const;
    const MemberView &view() const;
    ServerHealth &health();
    const RouterCounters &counters() const;
    std::size_t exceptionCount() const;

    /** Generation in the data path. */
    std::uint64_t heldGeneration() const;

    /** Highest generation whose exceptions have all been delivered to their owners and successors. */
    std::uint64_t preparedGeneration() const;

    /** Highest generation whose moved buckets take new flows at their new servers. */
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
    std::shared_ptr<const ServiceTable> m_services;
    std::shared_ptr<const MemberView> m_view;
    RouterCounters m_counters;
    std::map<std::pair<std::string, ServerIndex>, std::vector<std::uint64_t>> m_queuedKeys; /**< keys to send, by receiver and server */
    std::set<std::pair<std::string, std::uint64_t>> m_undelivered; /**< receiver and sequence */
    TimePoint m_nextExpiry {};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_prepared = 0;
    std::uint64_t m_active = 0;
};

} // namespace Samphirepitch
