#include "health/downservers.h"

namespace Samphirepitch
{

void DownServers::update(const ServerHealthChange &change)
{
    const std::pair server(change.pool, change.server);
    if (change.healthy) {
        m_changes.erase(server);
    } else if (m_changes.size() < maxServers) {
        m_changes.insert_or_assign(server, change);
    }
}

bool DownServers::contains(const std::string &pool, const std::string &server) const
{
    return m_changes.contains({ pool, server });
}

ServerStates DownServers::lastChanges() const
{
    ServerStates states;
    for (const auto &[server, change] : m_changes) {
        states.states.push_back(change);
    }
    return states;
}

} // namespace Samphirepitch
