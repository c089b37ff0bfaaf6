#include "peer/linktable.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

LinkTable::LinkTable(std::string self)
    : m_self(std::move(self))
{
}

bool LinkTable::add(const std::shared_ptr<PeerLink> &link)
{
    const std::string id = link->peer().instanceId;
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        m_links.emplace(id, Entry { link });
        return true;
    }
    const std::shared_ptr<PeerLink> existing = found->second.link;
    const bool sameIncarnation = existing->peer().incarnation == link->peer().incarnation;
    const bool preferred = link->isDialed() == (m_self < id);
    // Of two links dialed by the same side the older one is stale, because that side has dialed again.
    if (sameIncarnation && !preferred && existing->isDialed() != link->isDialed()) {
        return false;
    }
    found->second = Entry { link };
    existing->close(Error(ErrorKind::Stopped, id, "replaced by a newer link"));
    return true;
}

bool LinkTable::remove(const PeerLink &link)
{
    const auto found = m_links.find(link.peer().instanceId);
    if (found == m_links.end() || found->second.link.get() != &link) {
        return false;
    }
    m_links.erase(found);
    return true;
}

void LinkTable::closeUnwanted(const std::set<std::string> &wanted, TimePoint now)
{
    for (auto &[id, entry] : m_links) {
        if (wanted.contains(id) || !entry.link->isDialed()) {
            entry.unwantedDeadline = TimePoint::max();
        } else if (entry.unwantedDeadline == TimePoint::max()) {
            entry.unwantedDeadline = now + unwantedTimeout;
        } else if (now >= entry.unwantedDeadline) {
            entry.link->close(Error(ErrorKind::Stopped, id, "the link is no longer needed"));
        }
    }
}

bool LinkTable::contains(const std::string &peer) const
{
    return m_links.contains(peer);
}

bool LinkTable::containsAddress(Endpoint address) const
{
    return std::any_of(
        m_links.begin(), m_links.end(), [address](const auto &entry) { return entry.second.link->peer().peerAddress == address; });
}

std::size_t LinkTable::size() const
{
    return m_links.size();
}

std::vector<std::string> LinkTable::peers() const
{
    std::vector<std::string> ids;
    for (const auto &[id, entry] : m_links) {
        ids.push_back(id);
    }
    return ids;
}

bool LinkTable::send(const std::string &peer, const Message &message)
{
    const auto found = m_links.find(peer);
    if (found == m_links.end()) {
        return false;
    }
    if (std::holds_alternative<PartReply>(message) && found->second.link->queuedBytes() > partQueueLimit) {
        return false;
    }
    return found->second.link->send(message);
}

void LinkTable::broadcast(const Message &message)
{
    for (const auto &[id, entry] : m_links) {
        entry.link->send(message);
    }
}

} // namespace Samphirepitch
