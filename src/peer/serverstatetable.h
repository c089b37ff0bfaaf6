#pragma once

#include "peer/message.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Samphirepitch
{

/** The newest known health state of backend servers; detects which received changes are new. */
class ServerStateTable
{
public:
    /** Milliseconds until a healthy server is removed. No change stays in transit longer. */
    static constexpr std::uint64_t retentionMs = 600000;
    static constexpr std::size_t maxServers = 16384; /**< unhealthy or recently changed servers; no more are stored */

    /**
     * Stores the changes that are newer than the known ones.
     * @return the stored changes
     */
    ServerStates merge(const ServerStates &states);

    /** Returns messages that list all unhealthy servers, for the initial synchronization of a new peer. */
    std::vector<ServerStates> unhealthy() const;

    /** Removes healthy servers whose change is older than retentionMs at the wall time @p nowMs, in milliseconds. */
    void prune(std::uint64_t nowMs);

private:
    std::map<std::pair<std::string, std::string>, ServerHealthChange> m_states;
};

} // namespace Samphirepitch
