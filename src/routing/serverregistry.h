#pragma once

#include "core/clock.h"
#include "core/endpoint.h"

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

class BackendServer;
class Policy;
class Service;

/** Numbers a backend server of a service inside one instance; a number keeps its meaning until the instance ends. */
using ServerIndex = std::uint32_t;

constexpr ServerIndex noServer = std::numeric_limits<ServerIndex>::max();

/** A backend server as the data path uses it. */
struct RoutedServer {
    std::uint64_t service = 0; /**< id of the service */
    std::uint32_t backendServerId = 0; /**< number shared by the services that use this server; for health and load */
    Endpoint address;
    std::string name;
    std::uint64_t nameHash = 0;
    std::string failureDomain;
    std::uint32_t weight = 0;
    std::uint32_t slots = 1;
    bool inPool = true; /**< in the pool of the newest generation */
    bool takesNewWork = false;
    TimePoint drainDeadline = TimePoint::max(); /**< flows are placed anew after it */
};

/** All backend servers that an instance has known, by index. Flows of a server that was taken out of the pool keep its index. */
class ServerRegistry
{
public:
    /** Returns the index of a server of a service and updates its record. A server with another address is another server. */
    ServerIndex update(const Service &service, const Policy &policy, const BackendServer &server, TimePoint now);

    /** Records that a server is no longer in the pool of its service: it drains as long as its policy allows. */
    void markRemoved(ServerIndex index, const Policy &policy, TimePoint now);

    const RoutedServer &server(ServerIndex index) const;
    std::size_t size() const;

    /** Returns the server of a service with the given address, or noServer. */
    ServerIndex find(std::uint64_t service, Endpoint address) const;

    /** Adds a server that was in the pool before this instance knew the pool, because flows are still on it. */
    ServerIndex addRemovedServer(
        const Service &service, const Policy &policy, Endpoint address, const std::string &failureDomain, TimePoint now);

    /** Longest idle time of a flow by server index, in ticks of FlowTable. */
    std::span<const std::uint32_t> idleTicks() const;

    /** Returns the id of a service. */
    static std::uint64_t serviceId(std::string_view name);

private:
    ServerIndex add(const Service &service, const BackendServer &server);

    std::vector<RoutedServer> m_servers;
    std::vector<std::uint32_t> m_idleTicks;
    std::unordered_map<std::uint64_t, ServerIndex> m_byName; /**< by hash of service, name and address */
    std::unordered_map<std::uint64_t, ServerIndex> m_byAddress;
    std::unordered_map<std::uint64_t, std::uint32_t> m_backendServerIds; /**< by hash of pool, name and address */
};

} // namespace Samphirepitch
