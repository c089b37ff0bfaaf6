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

/** The index of a backend server of a service in the ServerRegistry of an instance. An index is never reused. */
using ServerIndex = std::uint32_t;

/** The index that stands for no server. */
constexpr ServerIndex noServer = std::numeric_limits<ServerIndex>::max();

/** The record of a backend server of one service in the data path. */
struct RoutedServer {
    std::uint64_t service = 0; /**< id of the service */
    std::uint32_t backendServerId = 0; /**< number of the server, the same for all services that use its pool; index of its health state */
    Endpoint address;
    std::string name;
    std::uint64_t nameHash = 0;
    std::string failureDomain;
    std::uint32_t weight = 0;
    std::uint32_t slots = 1; /**< requests that the server can run at the same time */
    bool inPool = true; /**< whether the pool of the newest generation contains the server */
    bool takesNewWork = false; /**< whether the server accepts new flows and requests */
    TimePoint drainDeadline = TimePoint::max(); /**< time after which flows of the server go to other servers */
};

/**
 * All backend servers that an instance has known, by index. A server that was removed from its pool keeps its index, which its flows
 * still use.
 */
class ServerRegistry
{
public:
    /**
     * Adds a server of a service or updates its record. A server with another address counts as another server.
     * @param service service that uses the server
     * @param policy policy of the service
     * @param server configuration of the server
     * @param now current time, at which a drain begins
     * @return index of the server
     */
    ServerIndex update(const Service &service, const Policy &policy, const BackendServer &server, TimePoint now);

    /** Marks a server as removed from the pool of its service. It drains for the drain timeout of @p policy. */
    void markRemoved(ServerIndex index, const Policy &policy, TimePoint now);

    const RoutedServer &server(ServerIndex index) const;
    std::size_t size() const;

    /** Returns the server of the service id @p service with the given address, or noServer. */
    ServerIndex find(std::uint64_t service, Endpoint address) const;

    /** Adds a server that was removed from the pool before this instance knew the pool and that still serves flows. */
    ServerIndex addRemovedServer(
        const Service &service, const Policy &policy, Endpoint address, const std::string &failureDomain, TimePoint now);

    /** Returns the longest idle time of a flow by server index, in ticks of FlowTable. */
    std::span<const std::uint32_t> idleTicks() const;

    /** Returns the id of a service, which is the same on every instance. */
    static std::uint64_t serviceId(std::string_view name);

private:
    ServerIndex add(const Service &service, const BackendServer &server);

    std::vector<RoutedServer> m_servers;
    std::vector<std::uint32_t> m_idleTicks;
    std::unordered_map<std::uint64_t, ServerIndex> m_byName; /**< by hash of service, name and address */
    std::unordered_map<std::uint64_t, ServerIndex> m_byAddress; /**< by hash of service and address */
    std::unordered_map<std::uint64_t, std::uint32_t> m_backendServerIds; /**< by hash of pool, name and address */
};

} // namespace Samphirepitch
