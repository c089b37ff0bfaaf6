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
 * The known instances and their ranking, from which each instance computes its role without agreement. The first instance in the ranking
 * is the reader: it reads the store for all. The ranking also forms a tree, with the reader as its root, along which changes are
 * pushed. Instances that know of different peers may choose two readers or miss a push for a while; the only costs are additional
 * calls to the store, and changes that arrive later because they have to be pulled.
 */
class PeerDirectory
{
public:
    /** An instance is considered dead if its heartbeat did not increase for this long, which is five rounds of gossip. */
    static constexpr std::chrono::milliseconds heartbeatTimeout { 2500 };
    /** Largest number of children of an instance in the tree. A push reaches 341 instances in 4 hops and 7,600 in 7 hops. */
    static constexpr std::size_t treeArity = 4;
    /** Dead instances are kept for this long, so that delayed gossip does not add them again as live ones. */
    static constexpr std::chrono::seconds retention { 60 };

    /** @param self the record of this instance */
    explicit PeerDirectory(PeerRecord self);

    /** Returns the record of this instance. */
    const PeerRecord &self() const;

    /** Increments the heartbeat of this instance. */
    void incrementHeartbeat();

    /** Sets whether the last calls of this instance to the store succeeded. @return whether the value changed */
    bool setStoreReachable(bool reachable);

    /**
     * Stores the record of another instance, unless the same or a newer one is known. An instance that was considered dead may return with
     * an earlier start time. Records with the id or the address of this instance are ignored.
     * @return whether the instance is new, or was considered dead before
     */
    bool merge(const PeerRecord &record, TimePoint now);

    /** Considers an instance dead until a record with a higher heartbeat arrives. */
    void markDead(const std::string &id, TimePoint now);

    /** Removes instances that have been dead for the retention time. */
    void expire(TimePoint now);

    /** Returns the live instances, with this one, sorted by rank. */
    std::vector<PeerRecord> ranking(TimePoint now) const;

    /** Returns the rank of this instance: the number of live instances that precede it in the ranking. */
    std::size_t rank(TimePoint now) const;

    /** Returns whether this instance is the reader: the first one in the ranking. */
    bool isReader(TimePoint now) const;

    /** Returns the id of the reader. */
    const std::string &readerId(TimePoint now) const;

    /** Returns the number of live instances, with this one. */
    std::size_t aliveCount(TimePoint now) const;

    /** Returns the ids of all known instances, alive or dead, with this one, sorted. */
    std::vector<std::string> recentIds() const;

    /** Returns the addresses of this instance's children in the tree. */
    std::vector<Endpoint> children(TimePoint now) const;

    /** Returns up to @p count other live instances, chosen at random without repetition. */
    std::vector<PeerRecord> sample(std::size_t count, RandomSource &random, TimePoint now) const;

    /** Returns a randomly chosen dead instance, or nothing. It may still run, and only the network between the two may have failed. */
    std::optional<PeerRecord> sampleDead(RandomSource &random, TimePoint now) const;

private:
    struct Entry {
        PeerRecord record;
        std::uint64_t hash = 0; // of the id
        TimePoint deadline {}; // the instance is considered alive until then
    };

    /** Sort key of the ranking: instances that reach the store come first, then the hash of the id decides. */
    using RankKey = std::pair<bool, std::uint64_t>;

    static RankKey rankKey(const PeerRecord &record, std::uint64_t hash);

    std::vector<PeerRecord> selectRecords(bool alive, TimePoint now) const;

    PeerRecord m_self;
    std::uint64_t m_selfHash;
    std::map<std::string, Entry> m_entries;
};

} // namespace Samphirepitch
