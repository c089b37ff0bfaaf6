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
 * Which backend servers an instance probes: each server of a failure domain has the two members of the domain with the highest
 * rendezvous rank for it. Each instance with the same view and configuration computes the same probers.
 */
class ProberSelection
{
public:
    static constexpr std::size_t probersPerServer = 2;

    /** Pool and name of a backend server. */
    using ServerKey = std::pair<std::string, std::string>;

    /** Ids of the probers of a server by falling rank; the second one is empty in a domain of one member. */
    using Probers = std::array<std::string, probersPerServer>;

    /** A server that this instance probes. */
    struct Assignment {
        ServerKey server;
        Endpoint health;
        Probers probers; /**< this instance is one of them */

        friend bool operator==(const Assignment &, const Assignment &) = default;
    };

    /**
     * @param instanceId id of this instance
     * @param failureDomain failure domain of this instance
     */
    ProberSelection(std::string instanceId, std::string failureDomain);

    /** Takes a view. Ranks the servers again only if the members of the own failure domain that count are others than before. */
    void setView(const MemberView &view);

    /** Takes a configuration. Ranks only servers that are new; servers without a health address are left out. */
    void setConfig(const ConfigSet &config);

    /** Lists the servers that this instance probes, sorted by key. */
    std::vector<Assignment> assignments() const;

private:
    struct Server {
        Endpoint health;
        Probers probers;
    };

    Probers probersOf(const ServerKey &server) const;

    std::string m_instanceId;
    std::string m_failureDomain;
    MemberView m_domain; // members of the own failure domain that count; a full view costs 13 times as much to rank
    std::map<ServerKey, Server> m_servers; // of the own failure domain, with a health address
};

} // namespace Samphirepitch
