#include "peer/serverstatetable.h"

namespace Samphirepitch
{

ServerStates ServerStateTable::merge(const ServerStates &states)
{
    ServerStates newer;
    for (const ServerHealthChange &state : states.states) {
        const auto key = std::pair(state.pool, state.server);
        const auto found = m_states.find(key);
        if (found != m_states.end() && found->second.at >= state.at) {
            continue;
        }
        if (found != m_states.end()) {
            found->second = state;
        } else if (m_states.size() < maxServers) {
            m_states.emplace(key, state);
        } else {
            continue; // forwarding a change that is not stored could let it circulate forever
        }
        newer.states.push_back(state);
    }
    return newer;
}

std::vector<ServerStates> ServerStateTable::unhealthy() const
{
    std::vector<ServerStates> messages;
    for (const auto &[key, state] : m_states) {
        if (state.healthy) {
            continue;
        }
        if (messages.empty() || messages.back().states.size() >= MessageLimits::serverStates) {
            messages.emplace_back();
        }
        messages.back().states.push_back(state);
    }
    return messages;
}

void ServerStateTable::prune(std::uint64_t nowMs)
{
    std::erase_if(m_states, [nowMs](const auto &entry) { return entry.second.healthy && entry.second.at.wallMs + retentionMs < nowMs; });
}

} // namespace Samphirepitch
