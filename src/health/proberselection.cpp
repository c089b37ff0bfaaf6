#include "health/proberselection.h"

#include "core/hash.h"

#include <algorithm>

namespace Samphirepitch
{

namespace
{

bool haveSameIds(const MemberView &left, const MemberView &right)
{
    return std::equal(left.members().begin(), left.members().end(), right.members().begin(), right.members().end(),
        [](const Member &one, const Member &other) { return one.id() == other.id(); });
}

} // namespace

ProberSelection::ProberSelection(std::string instanceId, std::string failureDomain)
    : m_instanceId(std::move(instanceId))
    , m_failureDomain(std::move(failureDomain))
{
}

void ProberSelection::setMemberView(const MemberView &view)
{
    std::vector<Member> members;
    for (const Member &member : view.members()) {
        // MemberView::ranked() ranks the same states. Suspects stay eligible, so that a refuted suspicion reassigns no probes.
        const bool isEligible = member.state() == MemberState::Alive || member.state() == MemberState::Suspect;
        if (isEligible && member.failureDomain() == m_failureDomain) {
            members.push_back(member);
        }
    }
    MemberView domainMembers(std::move(members));
    if (haveSameIds(domainMembers, m_domainMembers)) {
        return;
    }
    m_domainMembers = std::move(domainMembers);
    for (auto &[key, server] : m_servers) {
        server.probers = selectProbers(key);
    }
}

void ProberSelection::setConfig(const ConfigSet &config)
{
    std::map<ServerKey, Server> servers;
    for (const BackendPool &pool : config.pools()) {
        for (const BackendServer &server : pool.servers()) {
            if (server.failureDomain() != m_failureDomain || server.health().isUnset()) {
                continue;
            }
            ServerKey key(pool.name(), server.name());
            const auto known = m_servers.find(key);
            Probers probers = known != m_servers.end() ? std::move(known->second.probers) : selectProbers(key);
            servers.emplace(std::move(key), Server { server.health(), std::move(probers) });
        }
    }
    m_servers = std::move(servers);
}

std::vector<ProberSelection::Assignment> ProberSelection::assignments() const
{
    std::vector<Assignment> own;
    for (const auto &[key, server] : m_servers) {
        if (std::find(server.probers.begin(), server.probers.end(), m_instanceId) != server.probers.end()) {
            own.push_back({ key, server.health, server.probers });
        }
    }
    return own;
}

ProberSelection::Probers ProberSelection::selectProbers(const ServerKey &server) const
{
    Probers probers;
    const std::uint64_t key = mix64(hash64(server.first), hash64(server.second));
    const std::vector<const Member *> ranked = m_domainMembers.ranked(key, probersPerServer);
    std::transform(ranked.begin(), ranked.end(), probers.begin(), [](const Member *member) { return member->id(); });
    return probers;
}

} // namespace Samphirepitch
