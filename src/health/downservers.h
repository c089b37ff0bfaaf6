#pragma once

#include "peer/message.h"

#include <map>
#include <string>
#include <utility>

namespace Samphirepitch
{

/** The backend servers whose last reported state is down, including servers that the current configuration doesn't contain yet. */
class DownServers
{
public:
    static constexpr std::size_t maxServers = 16384; /**< as many as peers forward; changes of further servers are not stored */

    /** Applies a change. Changes of a server must arrive in the order of their times. */
    void update(const ServerHealthChange &change);

    /** Returns whether the server @p server of the pool @p pool is stored as down. */
    bool contains(const std::string &pool, const std::string &server) const;

    /** Returns the last change of each server that is down, sorted by pool and server. */
    ServerStates lastChanges() const;

private:
    std::map<std::pair<std::string, std::string>, ServerHealthChange> m_changes;
};

} // namespace Samphirepitch
