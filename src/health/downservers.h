#pragma once

#include "peer/message.h"

#include <map>
#include <string>
#include <utility>

namespace Samphirepitch
{

/** The backend servers that were spread as down, also those that the held configuration does not name yet. */
class DownServers
{
public:
    static constexpr std::size_t maxServers = 16384; /**< as many as peers pass on; more are not stored */

    /** Takes a change; changes arrive in the order of their dates. */
    void note(const ServerHealthChange &change);

    bool contains(const std::string &pool, const std::string &server) const;

    /** Lists the last change of each server that is down. */
    ServerStates all() const;

private:
    std::map<std::pair<std::string, std::string>, ServerHealthChange> m_changes;
};

} // namespace Samphirepitch
