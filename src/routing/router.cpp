#include "routing/router.h"

#include "core/hash.h"
#include "membership/memberview.h"
#include "routing/internal/ownercache.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr std::size_t ownerCount = 2; // owner and successor
constexpr std::uint64_t anyGeneration = std::numeric_limits<std::uint64_t>::max();

/** Returns whether a member can be owner or successor. */
bool canOwnState(const Member &member)
{
    return member.state() == MemberState::Alive || member.state() == MemberState::Suspect;
}

std::vector<std::string> stateOwnerIds(const MemberView &view)
{
    std::vector<std::string> ids;
    for (const Member &member : view.members()) {
        if (canOwnState(member)) {
            ids.push_back(member.id());
        }
    }
    return ids;
}

bool contains(const std::vector<const Member *> &members, const std::string &id)
{
    return std::any_of(members.begin(), members.end(), [&id](const Member *member) { return member->id() == id; });
}

} // namespace

Router::Router(RouterSettings settings, FlowExceptionTransport *transport)
    : m_settings(std::move(settings))
    , m_transport(transport)
    , m_flows(m_settings.maxFlows)
    , m_exceptions(m_settings.maxFlows)
    , m_services(std::make_shared<const ServiceTable>())
    , m_view(std::make_shared<const MemberView>())
{
}

void Router::configurationChanged(const ConfigGeneration &generation, TimePoint now)
{
    const std::uint64_t previousGeneration = m_services->generation();
    const std::uint64_t newGeneration = generation.head.generation;
    if (newGeneration <= previousGeneration) {
        return;
    }
    m_services = ServiceTable::build(generation, *m_services, m_servers, now);
    for (const FlowExceptionUpdate &update : std::exchange(m_earlyUpdates, {})) {
        flowExceptionsReceived(update, now);
    }
    const auto &services = m_services->services();
    const bool movesBuckets = std::any_of(services.begin(), services.end(), [newGeneration](const auto &entry) {
        return !entry.second->changes.empty() && entry.second->changes.front().generation == newGeneration;
    });
    if (previousGeneration == 0 || (!movesBuckets && m_active == previousGeneration)) {
        m_active = newGeneration;
    }
    if (movesBuckets) {
        sendExceptionsToOwners(nullptr, newGeneration, now);
    }
    updatePreparedGeneration();
}

void Router::memberViewChanged(std::shared_ptr<const MemberView> view, TimePoint now)
{
    const std::shared_ptr<const MemberView> previousView = std::exchange(m_view, std::move(view));
    std::erase_if(m_undelivered, [this](const auto &entry) {
        const Member *member = m_view->member(entry.first);
        return !member || !canOwnState(*member);
    });
    if (stateOwnerIds(*previousView) != stateOwnerIds(*m_view)) {
        sendExceptionsToOwners(previousView.get(), 0, now);
    }
    updatePreparedGeneration();
}

void Router::activate(std::uint64_t generation)
{
    m_active = std::max(m_active, std::min(generation, m_services->generation()));
}

void Router::flowExceptionsReceived(const FlowExceptionUpdate &update, TimePoint now)
{
    const RoutedService *service = m_services->service(ServerRegistry::serviceId(update.service));
    if (!service && update.generation > m_services->generation()) {
        const bool isKept = m_earlyUpdates.size() < maxEarlyUpdates;
        m_counters.exceptionsLost += isKept ? 0 : update.keys.size();
        if (isKept) {
            m_earlyUpdates.push_back(update);
        }
    }
    if (!service) {
        return;
    }
    ServerIndex server = m_servers.find(service->id, update.server);
    if (server == noServer) {
        server = m_servers.addRemovedServer(service->service, service->policy, update.server, update.failureDomain, now);
    }
    const TimePoint deadline = std::min(m_servers.server(server).drainDeadline, now + service->policy.drainTimeout());
    for (const std::uint64_t key : update.keys) {
        m_counters.exceptionsLost += m_exceptions.insert(service->id, key, server, deadline) ? 0 : 1;
    }
}

void Router::flowExceptionsDelivered(const std::string &instance, std::uint64_t sequence)
{
    m_undelivered.erase({ instance, sequence });
    updatePreparedGeneration();
}

void Router::serverStateReported(Endpoint server, bool up, WallTime at)
{
    for (ServerIndex index = 0; index < m_servers.size(); ++index) {
        if (m_servers.server(index).address == server) {
            m_health.stateReported(m_servers.server(index).backendServerId, up, at);
        }
    }
}

RouteDecision Router::route(const RoutedService &service, std::uint64_t key, TimePoint now, std::uint8_t hops)
{
    const auto knownServer = m_flows.touch(key, now);
    if (!knownServer || m_servers.server(*knownServer).service != service.id) {
        return routeUnknown(service, key, now, hops);
    }
    if (isUsable(service, *knownServer, now)) {
        return RouteDecision::send(*knownServer);
    }
    const ServerIndex server = healthyServer(service, key, service.serverAt(key, m_active), now);
    if (server == noServer) {
        return RouteDecision::refuse(RefusalReason::NoServer);
    }
    if (server != *knownServer) {
        ++m_counters.brokenFlows;
        m_exceptions.erase(service.id, key);
        m_flows.insert(key, server, now);
    }
    return RouteDecision::send(server);
}

RouteDecision Router::routeUnknown(const RoutedService &service, std::uint64_t key, TimePoint now, std::uint8_t hops)
{
    const ServerIndex exceptionServer = m_exceptions.find(service.id, key, now);
    if (exceptionServer != noServer && isUsable(service, exceptionServer, now)) {
        m_flows.insert(key, exceptionServer, now);
        return RouteDecision::send(exceptionServer);
    }
    const auto newestMove = service.lastBucketMove(key, anyGeneration, now);
    const bool isMovePending = newestMove && newestMove->generation > m_active;
    const auto activeMove = isMovePending ? service.lastBucketMove(key, m_active, now) : newestMove;
    RouteDecision ownerDecision = activeMove ? routeViaOwner(service, *activeMove, hops) : RouteDecision::send(noServer);
    // A prepared instance has already sent its flow exceptions to the owner of the newest move, so this owner has to learn of
    // each further flow. That owner forwards the packet to the owner of the active move, which decides.
    const bool ownsActiveMove = activeMove && hops > 0 && ownerDecision.action == RouteAction::Send;
    if (isMovePending && newestMove->generation <= m_prepared && !ownsActiveMove) {
        const RouteDecision newestOwnerDecision = routeViaOwner(service, *newestMove, hops);
        ownerDecision = newestOwnerDecision.action == RouteAction::Send ? ownerDecision : newestOwnerDecision;
    }
    // While instances activate a generation one after another, the last hop can be the owner of an earlier move. Neither that owner
    // nor those that forwarded the packet know the flow, so the flow is new.
    if (ownerDecision.reason == RefusalReason::TooManyHops && ownsAnyMove(service, key, now)) {
        ownerDecision = RouteDecision::send(noServer);
    }
    if (ownerDecision.action != RouteAction::Send) {
        m_counters.forwarded += ownerDecision.action == RouteAction::Forward ? 1 : 0;
        return ownerDecision;
    }
    const RouteDecision placed = placeNewFlow(service, key, now);
    if (isMovePending && placed.action == RouteAction::Send) {
        recordException(service, key, placed.server, now);
    }
    return placed;
}

/**
 * Decides who places a flow of a moved bucket.
 * @return Forward to its owner or successor; Send without a server if this instance places the flow; Refuse with PlacementUnknown if
 *         neither can be reached, with TooManyHops if the packet was forwarded maxHops times already
 */
RouteDecision Router::routeViaOwner(const RoutedService &service, const BucketMove &move, std::uint8_t hops) const
{
    if (m_view->members().empty()) {
        return RouteDecision::send(noServer);
    }
    const Owners rankedOwners = owners(*m_view, service.id, move);
    if (rankedOwners.empty()) {
        return RouteDecision::refuse(RefusalReason::PlacementUnknown);
    }
    // The successor holds the same exceptions and decides while the owner misses heartbeats.
    const bool useSuccessor
        = rankedOwners.size() > 1 && rankedOwners[0]->state() == MemberState::Suspect && rankedOwners[1]->state() == MemberState::Alive;
    const Member *owner = rankedOwners[useSuccessor ? 1 : 0];
    if (owner->id() == m_settings.instance || (hops > 0 && contains(rankedOwners, m_settings.instance))) {
        return RouteDecision::send(noServer);
    }
    return hops < maxHops ? RouteDecision::forward(owner) : RouteDecision::refuse(RefusalReason::TooManyHops);
}

/** Returns whether this instance is owner or successor for any known move of the bucket of a flow. */
bool Router::ownsAnyMove(const RoutedService &service, std::uint64_t key, TimePoint now) const
{
    for (auto move = service.lastBucketMove(key, anyGeneration, now); move; move = service.lastBucketMove(key, move->generation - 1, now)) {
        if (contains(owners(*m_view, service.id, *move), m_settings.instance)) {
            return true;
        }
    }
    return false;
}

/** Adds a new flow to the flow table and sends it to the server of its bucket or, if that server is down, to another one. */
RouteDecision Router::placeNewFlow(const RoutedService &service, std::uint64_t key, TimePoint now)
{
    const ServerIndex preferred = service.serverAt(key, m_active);
    const ServerIndex server = healthyServer(service, key, preferred, now);
    if (server == noServer) {
        return RouteDecision::refuse(RefusalReason::NoServer);
    }
    if (!m_flows.insert(key, server, now)) {
        // Without an entry, the lookup table must give the same server for the next packet of the flow.
        const bool isLookupResult = server == preferred && server == service.placement->server(key);
        return isLookupResult ? RouteDecision::send(server) : RouteDecision::refuse(RefusalReason::FlowTableFull);
    }
    ++m_counters.newFlows;
    return RouteDecision::send(server);
}

/**
 * Returns the preferred server or, if it is not usable, the healthy server with the highest rendezvous rank. If there is none either,
 * returns the preferred server until its drain deadline, and noServer afterwards.
 */
ServerIndex Router::healthyServer(const RoutedService &service, std::uint64_t key, ServerIndex preferred, TimePoint now) const
{
    if (preferred != noServer && isUsable(service, preferred, now)) {
        return preferred;
    }
    ServerIndex best = noServer;
    std::uint64_t bestRank = 0;
    for (const ServerIndex index : service.placement->servers()) {
        const RoutedServer &server = m_servers.server(index);
        const std::uint64_t rank = mix64(server.nameHash, key);
        if (server.takesNewWork && server.weight > 0 && m_health.isUp(server.backendServerId, now)
            && (best == noServer || rank > bestRank)) {
            best = index;
            bestRank = rank;
        }
    }
    // If all servers seem to be down, the observations are more likely to be wrong than a packet to the preferred server is to
    // do harm.
    return best != noServer || preferred == noServer || now >= m_servers.server(preferred).drainDeadline ? best : preferred;
}

bool Router::isUsable(const RoutedService &service, ServerIndex server, TimePoint now) const
{
    const RoutedServer &record = m_servers.server(server);
    return record.service == service.id && now < record.drainDeadline && m_health.isUp(record.backendServerId, now);
}

/** Returns owner and successor of a moved bucket, from the failure domain of its previous server if that has members. */
Router::Owners Router::owners(const MemberView &view, std::uint64_t service, const BucketMove &move) const
{
    const std::string &domain = m_servers.server(move.previousServer).failureDomain;
    const std::uint64_t key = mix64(service, move.bucket);
    const bool hasMembersInDomain = std::any_of(
        view.members().begin(), view.members().end(), [&domain](const Member &member) { return member.failureDomain() == domain; });
    return view.ranked(key, ownerCount, hasMembersInDomain ? std::string_view(domain) : std::string_view());
}

/** Gives owner and successor a flow exception for a new flow that was not placed on the newest server of its bucket. */
void Router::recordException(const RoutedService &service, std::uint64_t key, ServerIndex server, TimePoint now)
{
    const auto move = service.lastBucketMove(key, anyGeneration, now);
    if (!move || server == service.placement->server(key)) {
        return;
    }
    for (const Member *owner : owners(*m_view, service.id, *move)) {
        if (owner->id() == m_settings.instance) {
            m_counters.exceptionsLost += m_exceptions.insert(service.id, key, server, move->deadline) ? 0 : 1;
        } else {
            m_queuedKeys[{ owner->id(), server }].push_back(key);
        }
    }
    sendQueuedExceptions();
}

/**
 * Sends the flows of moved buckets to owner and successor as flow exceptions.
 * @param previousView view before a change of the members, so that members that already were owner or successor get nothing; null to
 *        send to all owners and successors
 * @param onlyGeneration the only generation whose moved buckets are considered; 0 for all
 */
void Router::sendExceptionsToOwners(const MemberView *previousView, std::uint64_t onlyGeneration, TimePoint now)
{
    const auto rankFunction = [this](const MemberView &view) {
        return [this, &view](std::uint64_t id, const BucketMove &move) { return owners(view, id, move); };
    };
    OwnerCache currentOwners(rankFunction(*m_view));
    OwnerCache previousOwners(rankFunction(previousView ? *previousView : *m_view));
    std::vector<std::pair<std::uint64_t, std::pair<std::uint64_t, ServerIndex>>> ownExceptions;
    const auto addException = [&](std::uint64_t id, std::uint64_t key, ServerIndex server) {
        const RoutedService *service = m_services->service(id);
        if (!service || service->changes.empty() || server == service->placement->server(key)) {
            return;
        }
        const auto move = service->lastBucketMove(key, anyGeneration, now);
        if (!move || (onlyGeneration != 0 && move->generation != onlyGeneration)) {
            return;
        }
        for (const Member *member : currentOwners.owners(id, *move)) {
            if (member->id() == m_settings.instance) {
                ownExceptions.push_back({ id, { key, server } });
            } else if (!previousView || !contains(previousOwners.owners(id, *move), member->id())) {
                m_queuedKeys[{ member->id(), server }].push_back(key);
            }
        }
    };
    for (const FlowTable::Entry &entry : m_flows.slots()) {
        if (entry.key != 0) {
            addException(m_servers.server(entry.value).service, entry.key, entry.value);
        }
    }
    m_exceptions.forEach([&](std::uint64_t id, std::uint64_t key, ServerIndex server) {
        if (m_flows.find(key) != server) {
            addException(id, key, server);
        }
    });
    for (const auto &[id, flow] : ownExceptions) {
        const TimePoint deadline = now + m_services->service(id)->policy.drainTimeout();
        m_counters.exceptionsLost += m_exceptions.insert(id, flow.first, flow.second, deadline) ? 0 : 1;
    }
    sendQueuedExceptions();
}

void Router::sendQueuedExceptions()
{
    for (auto &[destination, keys] : m_queuedKeys) {
        const RoutedServer &server = m_servers.server(destination.second);
        const RoutedService *service = m_services->service(server.service);
        for (std::size_t start = 0; m_transport && service && start < keys.size(); start += FlowExceptionUpdate::maxKeys) {
            const auto first = keys.begin() + static_cast<std::ptrdiff_t>(start);
            const auto last = first + static_cast<std::ptrdiff_t>(std::min(FlowExceptionUpdate::maxKeys, keys.size() - start));
            const FlowExceptionUpdate update { ++m_sequence, service->service.name(), m_services->generation(), server.address,
                server.failureDomain, { first, last } };
            m_counters.exceptionsSent += update.keys.size();
            m_undelivered.insert({ destination.first, update.sequence });
            m_transport->sendFlowExceptions(destination.first, update);
        }
    }
    m_queuedKeys.clear();
}

/** Updates the prepared generation. An instance without other members activates it at once. */
void Router::updatePreparedGeneration()
{
    if (m_undelivered.empty()) {
        m_prepared = m_services->generation();
    }
    const std::vector<std::string> ids = stateOwnerIds(*m_view);
    const bool isAlone = std::all_of(ids.begin(), ids.end(), [this](const std::string &id) { return id == m_settings.instance; });
    if (isAlone && m_view->members().size() <= 1) {
        activate(m_prepared);
    }
}

void Router::sweep(TimePoint now, std::size_t slots)
{
    m_flows.sweep(now, slots, m_servers.idleTicks());
    if (now >= m_nextExpiry) {
        m_exceptions.expire(now);
        m_nextExpiry = now + expiryInterval;
    }
}

const ServiceTable &Router::services() const
{
    return *m_services;
}

const ServerRegistry &Router::servers() const
{
    return m_servers;
}

const FlowTable &Router::flows() const
{
    return m_flows;
}

const MemberView &Router::view() const
{
    return *m_view;
}

ServerHealth &Router::health()
{
    return m_health;
}

const RouterCounters &Router::counters() const
{
    return m_counters;
}

std::size_t Router::exceptionCount() const
{
    return m_exceptions.size();
}

std::uint64_t Router::heldGeneration() const
{
    return m_services->generation();
}

std::uint64_t Router::preparedGeneration() const
{
    return m_prepared;
}

std::uint64_t Router::activeGeneration() const
{
    return m_active;
}

} // namespace Samphirepitch
