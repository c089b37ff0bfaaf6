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

/** Decides when to dial whom: planned links, seeds, and members that may have come back. */
class PeerDialer
{
public:
    /** Of two instances that want a link the larger id waits this long, so that usually only one dials. */
    static constexpr std::chrono::milliseconds higherIdDialDelay { 1000 };
    static constexpr std::chrono::milliseconds seedInterval { 5000 }; /**< between dials of seeds that are not members */
    static constexpr std::chrono::milliseconds startInterval { 250 }; /**< between dials of seeds without any link */
    static constexpr std::chrono::milliseconds probeInterval { 1000 }; /**< between probes of a watcher */

    /** All arguments outlive the dialer. */
    PeerDialer(PeerServer &server, Membership &membership, const LinkTable &links, RandomSource &random, std::vector<Endpoint> seeds);

    /** Dials what is due. @param wanted the members that links are kept to */
    void advance(const std::set<std::string> &wanted, TimePoint now);

    /** A dial failed: members that stay unreachable become suspect. */
    void dialFailed(Endpoint address, TimePoint now);

private:
    struct Probe {
        std::string id;
        Endpoint address;
    };

    void dialWanted(const std::set<std::string> &wanted, TimePoint now);
    void dialSeeds(TimePoint now);
    void probe(TimePoint now);
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
