#pragma once

#include "peer/message.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Samphirepitch
{

/** The newest spread state of backend servers; tells news from what was delivered before. */
class ServerStateTable
{
public:
    static constexpr std::uint64_t retentionMs = 600000; /**< a healthy server is forgotten after this; news do not travel longer */
    static constexpr std::size_t maxServers = 16384; /**< unhealthy or recently changed servers; more are not stored */

    /** Stores @p states. @return those that are newer than what was known */
    ServerStates merge(const ServerStates &states);

    /** Lists the unhealthy servers in messages of the allowed size, for a new peer. */
    std::vector<ServerStates> unhealthy() const;

    /** Forgets healthy servers whose change is older than retentionMs. */
    void prune(std::uint64_t nowMs);

private:
    std::map<std::pair<std::string, std::string>, ServerHealthChange> m_states;
};

} // namespace Samphirepitch
