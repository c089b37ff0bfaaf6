#include "routing/serverregistry.h"

#include "core/hash.h"
#include "model/backendserver.h"
#include "model/policy.h"
#include "model/service.h"
#include "routing/flowtable.h"

namespace Samphirepitch
{

namespace
{

std::uint64_t addressKey(std::uint64_t service, Endpoint address)
{
    return mix64(service, static_cast<std::uint64_t>(address.address()) << 16 | address.port());
}

std::uint64_t nameKey(std::uint64_t service, const BackendServer &server)
{
    return addressKey(mix64(service, hash64(server.name())), server.address());
}

} // namespace

std::uint64_t ServerRegistry::serviceId(std::string_view name)
{
    return hash64(name);
}

ServerIndex ServerRegistry::add(const Service &service, const BackendServer &server)
{
    const auto index = static_cast<ServerIndex>(m_servers.size());
    const std::uint64_t id = serviceId(service.name());
    const std::uint64_t poolAndName = mix64(hash64(service.pool()), hash64(server.name()));
    const auto idEntry
        = m_backendServerIds.try_emplace(addressKey(poolAndName, server.address()), static_cast<std::uint32_t>(m_backendServerIds.size()))
              .first;
    m_servers.push_back({ .service = id,
        .backendServerId = idEntry->second,
        .address = server.address(),
        .name = server.name(),
        .nameHash = hash64(server.name()),
        .failureDomain = server.failureDomain() });
    m_idleTicks.push_back(0);
    m_byName[nameKey(id, server)] = index;
    m_byAddress[addressKey(id, server.address())] = index;
    return index;
}

ServerIndex ServerRegistry::update(const Service &service, const Policy &policy, const BackendServer &server, TimePoint now)
{
    const auto known = m_byName.find(nameKey(serviceId(service.name()), server));
    const bool matches = known != m_byName.end() && m_servers[known->second].name == server.name();
    const ServerIndex index = matches ? known->second : add(service, server);
    RoutedServer &record = m_servers[index];
    record.failureDomain = server.failureDomain();
    record.weight = server.weight();
    record.slots = server.slots();
    record.inPool = true;
    record.takesNewWork = server.state() == ServerState::Active;
    if (record.takesNewWork) {
        record.drainDeadline = TimePoint::max();
    } else if (record.drainDeadline == TimePoint::max()) {
        record.drainDeadline = now + policy.drainTimeout();
    }
    m_byAddress[addressKey(record.service, record.address)] = index;
    m_idleTicks[index] = static_cast<std::uint32_t>(policy.flowIdleTimeout() / FlowTable::tick + 1);
    return index;
}

void ServerRegistry::markRemoved(ServerIndex index, const Policy &policy, TimePoint now)
{
    RoutedServer &record = m_servers[index];
    record.inPool = false;
    record.takesNewWork = false;
    if (record.drainDeadline == TimePoint::max()) {
        record.drainDeadline = now + policy.drainTimeout();
    }
}

const RoutedServer &ServerRegistry::server(ServerIndex index) const
{
    return m_servers[index];
}

std::size_t ServerRegistry::size() const
{
    return m_servers.size();
}

ServerIndex ServerRegistry::find(std::uint64_t service, Endpoint address) const
{
    const auto found = m_byAddress.find(addressKey(service, address));
    const bool matches
        = found != m_byAddress.end() && m_servers[found->second].service == service && m_servers[found->second].address == address;
    return matches ? found->second : noServer;
}

ServerIndex ServerRegistry::addRemovedServer(
    const Service &service, const Policy &policy, Endpoint address, const std::string &failureDomain, TimePoint now)
{
    // The name can't collide with a configured server, whose name can't contain a slash.
    const BackendServer server({ .name = "former/" + address.toString(), .failureDomain = failureDomain, .address = address });
    const ServerIndex index = update(service, policy, server, now);
    markRemoved(index, policy, now);
    return index;
}

std::span<const std::uint32_t> ServerRegistry::idleTicks() const
{
    return m_idleTicks;
}

} // namespace Samphirepitch
