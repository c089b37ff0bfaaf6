#pragma once

#include "core/clock.h"
#include "core/endpoint.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Samphirepitch
{

class LinkTable;
class Membership;
class PeerServer;
class RandomSource;

/** Decides which addresses to dial and when: peers of planned links, seeds, and members to be probed. */
class PeerDialer
{
public:
    /** Time that the instance with the higher id waits before it dials a planned link, so that usually only one side dials. */
    static constexpr std::chrono::milliseconds higherIdDialDelay { 1000 };
    static constexpr std::chrono::milliseconds seedInterval { 5000 }; /**< between dials of seeds that are not members */
    static constexpr std::chrono::milliseconds startInterval { 250 }; /**< between dials of seeds while there is no link at all */
    static constexpr std::chrono::milliseconds probeInterval { 1000 }; /**< between probes of a watcher */

    /** All arguments taken by reference must outlive the dialer. @p seeds are peer addresses that are dialed until they are members. */
    PeerDialer(PeerServer &server, Membership &membership, const LinkTable &links, RandomSource &random, std::vector<Endpoint> seeds);

    /**
     * Dials the peers, seeds and probe targets that are due.
     * @param wanted ids of the members to keep links to
     * @param now current time
     */
    void advance(const std::set<std::string> &wanted, TimePoint now);

    /** Handles a failed dial. A probed member, or one that stays unreachable for PeerLink::timeout, becomes suspect. */
    void dialFailed(Endpoint address, TimePoint now);

private:
    struct Probe {
        std::string id;
        Endpoint address;
    };

    void dialWanted(const std::set<std::string> &wanted, TimePoint now);
    void dialSeeds(TimePoint now);
    void probe(TimePoint now);
    /** Returns whether a member with the address is not dead. Without any link it returns false, so that each seed is dialed. */
    bool isKnownMember(Endpoint address) const;

    PeerServer &m_server;
    Membership &m_membership;
    const LinkTable &m_links;
    RandomSource &m_random;
    std::vector<Endpoint> m_seeds;
    std::map<std::string, TimePoint> m_wantedSince;
    std::optional<Probe> m_probe;
    TimePoint m_nextSeeds {};
    TimePoint m_nextProbe {};
};

} // namespace Samphirepitch
