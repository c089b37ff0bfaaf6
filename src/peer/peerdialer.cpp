#include "peer/peerdialer.h"

#include "core/random.h"
#include "membership/membership.h"
#include "peer/linktable.h"
#include "peer/peerserver.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

PeerDialer::PeerDialer(
    PeerServer &server, Membership &membership, const LinkTable &links, RandomSource &random, std::vector<Endpoint> seeds)
    : m_server(server)
    , m_membership(membership)
    , m_links(links)
    , m_random(random)
    , m_seeds(std::move(seeds))
{
}

void PeerDialer::advance(const std::set<std::string> &wanted, TimePoint now)
{
    dialWanted(wanted, now);
    dialSeeds(now);
    if (m_membership.isWatcher()) {
        probe(now);
    }
}

void PeerDialer::dialFailed(Endpoint address, TimePoint now)
{
    if (m_probe && m_probe->address == address) {
        m_membership.probeFailed(m_probe->id, now);
        m_probe.reset();
    }
    std::vector<std::string> unreachable;
    for (const auto &[id, since] : m_wantedSince) {
        const Member *member = m_membership.view()->member(id);
        if (member && member->peerAddress() == address && now >= since + PeerLink::timeout) {
            unreachable.push_back(id);
        }
    }
    for (const std::string &id : unreachable) {
        m_membership.linkDown(id, now);
    }
}

void PeerDialer::dialWanted(const std::set<std::string> &wanted, TimePoint now)
{
    std::erase_if(m_wantedSince, [&](const auto &entry) { return !wanted.contains(entry.first) || m_links.contains(entry.first); });
    const auto view = m_membership.view();
    for (const std::string &id : wanted) {
        const Member *member = view->member(id);
        if (m_links.contains(id) || !member || member->peerAddress().port() == 0) {
            continue;
        }
        const TimePoint since = m_wantedSince.emplace(id, now).first->second;
        if (m_links.containsAddress(member->peerAddress())) {
            m_membership.linkDown(id, now); // another instance now listens on the address of this member
        } else if (m_membership.self().id < id || now >= since + higherIdDialDelay) {
            m_server.dial(member->peerAddress());
        }
    }
}

void PeerDialer::dialSeeds(TimePoint now)
{
    if (now < m_nextSeeds) {
        return;
    }
    m_nextSeeds = now + (m_links.size() == 0 ? startInterval : seedInterval);
    for (const Endpoint seed : m_seeds) {
        if (seed != m_membership.self().peerAddress && !m_links.containsAddress(seed) && !isKnownMember(seed)) {
            m_server.dial(seed);
        }
    }
}

void PeerDialer::probe(TimePoint now)
{
    if (now < m_nextProbe) {
        return;
    }
    m_nextProbe = now + probeInterval;
    const std::vector<std::string> targets = m_membership.probeTargets(now);
    if (targets.empty()) {
        return;
    }
    const std::string &id = targets[m_random.below(targets.size())];
    const Endpoint address = m_membership.view()->member(id)->peerAddress();
    if (!m_links.containsAddress(address)) {
        m_probe = Probe { id, address };
        m_server.dial(address);
    }
}

bool PeerDialer::isKnownMember(Endpoint address) const
{
    const auto view = m_membership.view();
    return m_links.size() > 0 && std::any_of(view->members().begin(), view->members().end(), [address](const Member &member) {
        return member.peerAddress() == address && member.state() != MemberState::Dead;
    });
}

} // namespace Samphirepitch
