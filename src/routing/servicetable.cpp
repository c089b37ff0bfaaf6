#include "routing/servicetable.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr int maxFallbacks = 8; // ConfigChecker refuses cycles; this bound holds even for sets that were not checked

std::uint64_t addressKey(Endpoint address)
{
    return static_cast<std::uint64_t>(address.address()) << 16 | address.port();
}

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

bool isUnchanged(const RoutedService &before, const RoutedService &now)
{
    return before.service == now.service && before.pool == now.pool && before.policy == now.policy
        && before.idempotentMethods == now.idempotentMethods;
}

std::vector<PlacementChange> remainingChanges(const RoutedService &before, TimePoint now)
{
    std::vector<PlacementChange> changes;
    for (const PlacementChange &change : before.changes) {
        if (now < change.deadline) {
            changes.push_back(change);
        }
    }
    return changes;
}

std::shared_ptr<const Placement> place(const RoutedService &service, const RoutedService *before, ServerRegistry &servers, TimePoint now)
{
    std::vector<ServerIndex> indexes;
    for (const BackendServer &server : service.pool.servers()) {
        indexes.push_back(servers.update(service.service, service.policy, server, now));
    }
    if (before && before->pool == service.pool) {
        return before->placement;
    }
    return std::make_shared<const Placement>(LookupTable::of(service.pool), std::move(indexes));
}

void retireAbsent(const RoutedService &before, const std::vector<ServerIndex> &present, ServerRegistry &servers, TimePoint now)
{
    for (const ServerIndex index : before.placement->servers()) {
        if (std::find(present.begin(), present.end(), index) == present.end()) {
            servers.retire(index, before.policy, now);
        }
    }
}

void continueFrom(const RoutedService &before, RoutedService &service, std::uint64_t generation, ServerRegistry &servers, TimePoint now)
{
    retireAbsent(before, service.placement->servers(), servers, now);
    service.changes = remainingChanges(before, now);
    if (before.placement == service.placement) {
        return;
    }
    service.changes.insert(service.changes.begin(), { generation, now + service.policy.drainTimeout(), before.placement });
    service.changes.resize(std::min(service.changes.size(), RoutedService::maxChanges));
}

} // namespace

std::shared_ptr<const ServiceTable> ServiceTable::build(
    const ConfigGeneration &generation, const ServiceTable &before, ServerRegistry &servers, TimePoint now)
{
    auto table = std::make_shared<ServiceTable>();
    table->m_generation = generation.head.generation;
    for (const Service &service : generation.set->services()) {
        const BackendPool *pool = generation.set->pool(service.pool());
        const Policy *policy = generation.set->policy(service.policy());
        if (!pool || !policy) {
            continue; // ConfigChecker refuses such sets
        }
        RoutedService routed { ServerRegistry::serviceId(service.name()), service, *pool, *policy,
            idempotentMethods(*generation.set, policy), nullptr, {} };
        const auto known = before.m_byId.find(routed.id);
        const RoutedService *old = known == before.m_byId.end() ? nullptr : known->second.get();
        if (old && old->changes.empty() && isUnchanged(*old, routed)) {
            table->add(known->second);
            continue;
        }
        routed.placement = place(routed, old, servers, now);
        if (old) {
            continueFrom(*old, routed, table->m_generation, servers, now);
        }
        table->add(std::make_shared<const RoutedService>(std::move(routed)));
    }
    for (const auto &[id, service] : before.m_byId) {
        if (!table->m_byId.contains(id)) {
            retireAbsent(*service, {}, servers, now);
        }
    }
    return table;
}

void ServiceTable::add(std::shared_ptr<const RoutedService> service)
{
    m_byAddress[addressKey(service->service.address())] = service.get();
    m_byId[service->id] = std::move(service);
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

std::uint64_t ServiceTable::generation() const
{
    return m_generation;
}

const std::unordered_map<std::uint64_t, std::shared_ptr<const RoutedService>> &ServiceTable::services() const
{
    return m_byId;
}

} // namespace Samphirepitch
