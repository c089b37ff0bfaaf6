#include "routing/servicetable.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr int maxFallbacks = 8; // ConfigChecker refuses cycles of fallbacks; the bound ends the loop in a set that was not checked

std::uint64_t addressKey(Endpoint address)
{
    return static_cast<std::uint64_t>(address.address()) << 16 | address.port();
}

/** Returns the idempotent methods of a policy and of its fallbacks, sorted. */
std::vector<std::string> idempotentMethods(const ConfigSet &set, const Policy *policy)
{
    std::vector<std::string> methods;
    for (int depth = 0; policy && depth < maxFallbacks; ++depth) {
        methods.insert(methods.end(), policy->idempotentMethods().begin(), policy->idempotentMethods().end());
        policy = policy->fallback().empty() ? nullptr : set.policy(policy->fallback());
    }
    std::sort(methods.begin(), methods.end());
    methods.erase(std::unique(methods.begin(), methods.end()), methods.end());
    return methods;
}

using NameSet = std::set<std::string_view>;

/** Returns the names of the objects that differ between two vectors sorted by name: added, removed or changed ones. */
template<typename Object>
NameSet changedNames(const std::vector<Object> &before, const std::vector<Object> &after)
{
    NameSet names;
    auto left = before.begin();
    auto right = after.begin();
    while (left != before.end() || right != after.end()) {
        if (right == after.end() || (left != before.end() && left->name() < right->name())) {
            names.insert((left++)->name());
        } else if (left == before.end() || right->name() < left->name()) {
            names.insert((right++)->name());
        } else {
            if (!(*left == *right)) {
                names.insert(right->name());
            }
            ++left;
            ++right;
        }
    }
    return names;
}

bool hasExpiredChange(const RoutedService &service, TimePoint now)
{
    return std::any_of(
        service.changes.begin(), service.changes.end(), [now](const PlacementChange &change) { return now >= change.deadline; });
}

std::vector<PlacementChange> unexpiredChanges(const RoutedService &previous, TimePoint now)
{
    std::vector<PlacementChange> changes;
    for (const PlacementChange &change : previous.changes) {
        if (now < change.deadline) {
            changes.push_back(change);
        }
    }
    return changes;
}

/** Updates the servers of a service and returns its placement, which is shared with the previous service if the pool is unchanged. */
std::shared_ptr<const Placement> buildPlacement(
    const RoutedService &service, const RoutedService *previous, ServerRegistry &servers, TimePoint now)
{
    std::vector<ServerIndex> indexes;
    for (const BackendServer &server : service.pool.servers()) {
        indexes.push_back(servers.update(service.service, service.policy, server, now));
    }
    if (previous && previous->pool == service.pool) {
        return previous->placement;
    }
    return std::make_shared<const Placement>(LookupTable::of(service.pool), std::move(indexes));
}

/** Marks the servers of the previous placement that are not in @p present as removed. */
void markAbsentServersRemoved(
    const RoutedService &previous, const std::vector<ServerIndex> &present, ServerRegistry &servers, TimePoint now)
{
    for (const ServerIndex index : previous.placement->servers()) {
        if (std::find(present.begin(), present.end(), index) == present.end()) {
            servers.markRemoved(index, previous.policy, now);
        }
    }
}

/**
 * Takes over the placement changes of the previous service that have not expired, and adds one if the placement changed. Marks the
 * servers that left the pool as removed.
 */
void carryOverChanges(
    const RoutedService &previous, RoutedService &service, std::uint64_t generation, ServerRegistry &servers, TimePoint now)
{
    markAbsentServersRemoved(previous, service.placement->servers(), servers, now);
    service.changes = unexpiredChanges(previous, now);
    if (previous.placement == service.placement) {
        return;
    }
    service.changes.insert(service.changes.begin(), { generation, now + service.policy.drainTimeout(), previous.placement });
    service.changes.resize(std::min(service.changes.size(), RoutedService::maxChanges));
}

} // namespace

std::shared_ptr<const ServiceTable> ServiceTable::build(
    const ConfigGeneration &generation, const ServiceTable &previous, ServerRegistry &servers, TimePoint now)
{
    // The new table starts as a copy, because a change usually concerns one of thousands of services.
    auto table = std::make_shared<ServiceTable>(previous);
    table->m_generation = generation.head.generation;
    table->m_set = generation.set;
    std::erase_if(table->m_removed, [now](const auto &entry) { return entry.second.deadline <= now; });
    const ConfigSet emptySet;
    const ConfigSet &previousSet = previous.m_set ? *previous.m_set : emptySet;
    const NameSet changedPools = changedNames(previousSet.pools(), generation.set->pools());
    const bool policiesChanged = !changedNames(previousSet.policies(), generation.set->policies()).empty();
    const NameSet changedServices = changedNames(previousSet.services(), generation.set->services());
    for (const Service &service : generation.set->services()) {
        const auto known = previous.m_byId.find(ServerRegistry::serviceId(service.name()));
        const bool isUnchanged = known != previous.m_byId.end() && !policiesChanged && !changedServices.contains(service.name())
            && !changedPools.contains(service.pool()) && !hasExpiredChange(*known->second, now);
        if (isUnchanged) {
            continue;
        }
        const BackendPool *pool = generation.set->pool(service.pool());
        const Policy *policy = generation.set->policy(service.policy());
        if (!pool || !policy) {
            continue; // ConfigChecker refuses such sets
        }
        RoutedService routed { ServerRegistry::serviceId(service.name()), service, *pool, *policy,
            idempotentMethods(*generation.set, policy), nullptr, {} };
        const RoutedService *previousService = known == previous.m_byId.end() ? nullptr : known->second.get();
        routed.placement = buildPlacement(routed, previousService, servers, now);
        if (previousService) {
            carryOverChanges(*previousService, routed, table->m_generation, servers, now);
            table->remove(*previousService);
        }
        table->add(std::make_shared<const RoutedService>(std::move(routed)));
    }
    for (const std::string_view name : changedServices) {
        const auto known = previous.m_byId.find(ServerRegistry::serviceId(name));
        if (known != previous.m_byId.end() && !generation.set->service(name)) {
            markAbsentServersRemoved(*known->second, {}, servers, now);
            table->m_removed.insert_or_assign(addressKey(known->second->service.address()),
                RemovedService { known->second, now + known->second->policy.requestTimeout() });
            table->remove(*known->second);
        }
    }
    return table;
}

void ServiceTable::add(std::shared_ptr<const RoutedService> service)
{
    m_byAddress[addressKey(service->service.address())] = service.get();
    m_byId[service->id] = std::move(service);
}

void ServiceTable::remove(const RoutedService &service)
{
    // Another service may have got the address in the same generation.
    const auto byAddress = m_byAddress.find(addressKey(service.service.address()));
    if (byAddress != m_byAddress.end() && byAddress->second == &service) {
        m_byAddress.erase(byAddress);
    }
    m_byId.erase(service.id);
}

const RoutedService *ServiceTable::service(Endpoint address) const
{
    const auto found = m_byAddress.find(addressKey(address));
    return found == m_byAddress.end() ? nullptr : found->second;
}

const RoutedService *ServiceTable::service(std::uint64_t id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second.get();
}

const RoutedService *ServiceTable::removedService(Endpoint address, TimePoint now) const
{
    const auto found = m_removed.find(addressKey(address));
    return found == m_removed.end() || found->second.deadline <= now ? nullptr : found->second.service.get();
}

std::uint64_t ServiceTable::generation() const
{
    return m_generation;
}

const std::unordered_map<std::uint64_t, std::shared_ptr<const RoutedService>> &ServiceTable::services() const
{
    return m_byId;
}

} // namespace Samphirepitch
