#pragma once

#include "membership/memberview.h"
#include "model/configset.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Samphirepitch
{

/**
 * Selects the backend servers that an instance probes. The probers of a server are the two members of its failure domain with the
 * highest rendezvous rank for that server. Instances with the same member view and configuration compute the same probers.
 */
class ProberSelection
{
public:
    static constexpr std::size_t probersPerServer = 2;

    /** Name of the pool and name of the backend server. */
    using ServerKey = std::pair<std::string, std::string>;

    /** Instance ids of the probers of a server by descending rank. Missing probers, as in a domain of one member, are empty. */
    using Probers = std::array<std::string, probersPerServer>;

    /** A server that this instance probes. */
    struct Assignment {
        ServerKey server;
        Endpoint health; /**< TCP address of the health endpoint */
        Probers probers; /**< all probers of the server, of which this instance is one */

        friend bool operator==(const Assignment &, const Assignment &) = default;
    };

    /**
     * @param instanceId id of this instance
     * @param failureDomain failure domain of this instance
     */
    ProberSelection(std::string instanceId, std::string failureDomain);

    /** Applies a member view. Probers are selected again only if the eligible members of the failure domain of this instance changed. */
    void setMemberView(const MemberView &view);

    /** Applies a configuration. Probers are selected only for new servers. Servers without a health address are not probed. */
    void setConfig(const ConfigSet &config);

    /** Returns the servers that this instance probes, sorted by key. */
    std::vector<Assignment> assignments() const;

private:
    struct Server {
        Endpoint health;
        Probers probers;
    };

    Probers selectProbers(const ServerKey &server) const;

    std::string m_instanceId;
    std::string m_failureDomain;
    MemberView m_domainMembers; // eligible members of m_failureDomain; ranking the full view takes 13 times as long
    std::map<ServerKey, Server> m_servers; // servers of m_failureDomain with a health address
};

} // namespace Samphirepitch
