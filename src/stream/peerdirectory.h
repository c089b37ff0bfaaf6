#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "stream/peerrecord.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Samphirepitch
{

/**
 * The instances that are heard of, and the roles that each of them computes alike: the first one in the order reads the store for
 * all, and the order is a tree in which it passes on what it reads. Instances that disagree for a while read twice or pull later;
 * nothing depends on there being exactly one reader.
 */
class PeerDirectory
{
public:
    /** An instance whose heartbeat stands still for this long is taken as dead: five rounds of gossip. */
    static constexpr std::chrono::milliseconds heartbeatTimeout { 2500 };
    /** Children of an instance in the tree; 4 levels reach 341 instances and 7 reach 7,600. */
    static constexpr std::size_t treeArity = 4;
    /** Dead instances are remembered so that late gossip does not revive them. */
    static constexpr std::chrono::seconds retention { 60 };

    explicit PeerDirectory(PeerRecord self);

    const PeerRecord &self() const;

    /** Raises the own heartbeat. */
    void incrementHeartbeat();

    /** Sets whether the own last call to the store succeeded. @return whether that changed */
    bool setStoreReachable(bool reachable);

    /** Takes a record. @return whether it was not known as a live instance before */
    bool merge(const PeerRecord &record, TimePoint now);

    /** No news came from the reader in time; it is passed over until its heartbeat moves again. */
    void markDead(const std::string &id, TimePoint now);

    /** Forgets dead instances after the retention. */
    void expire(TimePoint now);

    /** Returns all live instances with this one, in the computed order. */
    std::vector<PeerRecord> ranking(TimePoint now) const;

    /** Returns how many live instances come before this one in the order. */
    std::size_t rank(TimePoint now) const;

    /** Returns whether this instance is first in the order. */
    bool isReader(TimePoint now) const;

    /** Returns the id of the first instance in the order. */
    const std::string &readerId(TimePoint now) const;

    /** Returns the number of live instances, with this one. */
    std::size_t aliveCount(TimePoint now) const;

    /** Returns the addresses of this instance's children in the tree. */
    std::vector<Endpoint> children(TimePoint now) const;

    /** Returns up to @p count other live instances, chosen at random. */
    std::vector<PeerRecord> sample(std::size_t count, RandomSource &random, TimePoint now) const;

    /** Returns an instance that is taken as dead, chosen at random: it may only have been cut off. */
    std::optional<PeerRecord> sampleDead(RandomSource &random, TimePoint now) const;

private:
    struct Entry {
        PeerRecord record;
        std::uint64_t hash = 0; // of the id
        TimePoint deadline {}; // until which the instance counts as alive
    };

    /** Sorts instances: those that reach the store first, then by the hash of the id. */
    using RankKey = std::pair<bool, std::uint64_t>;

    static RankKey rankKey(const PeerRecord &record, std::uint64_t hash);

    std::vector<PeerRecord> selectRecords(bool alive, TimePoint now) const;

    PeerRecord m_self;
    std::uint64_t m_selfHash;
    std::map<std::string, Entry> m_entries;
};

} // namespace Samphirepitch
