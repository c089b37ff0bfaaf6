#pragma once

#include "core/metricsource.h"
#include "placement/placementpolicy.h"
#include "stream/instanceroster.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

/**
 * Limits the new flows that all instances together send to a cold server, which is one that has just started. The instances don't
 * exchange messages about it: each computes from its own list of instances whether it may send to a server, and how much.
 *
 * For each server the instances are ranked by a hash of their id and the server's token. Only the first ones send, each a fixed share of
 * the limit within any window. An instance that counts more instances than run sends less, so lists that differ add up to at most the limit
 * as long as each list contains all instances that send.
 */
class ColdSharePolicy : public PlacementPolicy, public MetricSource
{
public:
    /** The share applies to any span of this length, or to one flow's interval if the limit is below 1 a second. */
    static constexpr std::chrono::seconds minWindow { 1 };
    /** Within four rounds of gossip nearly all other instances count a new one, and have reduced their own shares. */
    static constexpr std::chrono::milliseconds joinTime { 2000 };
    /** How old the list of instances may be. Comparing 300 ids for each placement would cost more than the placement. */
    static constexpr std::chrono::milliseconds rosterInterval { 100 };

    /**
     * An instance whose process stood still for longer than this waits as after a start. New instances send after 3 s, so that one of which
     * this one has not heard during a shorter stall doesn't send yet.
     */
    static constexpr std::chrono::milliseconds maxStall { 1000 };

    /** @param startedAt when this instance started */
    explicit ColdSharePolicy(TimePoint startedAt);

    /** Sets the instances that share the servers with this one; without a roster this one is the only one. It must outlive the policy. */
    void useRoster(const InstanceRoster &roster);

    /** Puts the limits of a configuration in force. */
    void applyConfiguration(const StreamConfiguration &configuration);

    /** Records that the process runs. Called every few tens of milliseconds. */
    void tick(TimePoint now);

    std::string_view name() const override;
    PlacementVerdict judge(const DirectoryRecord &server, const NewFlow &flow, TimePoint now) const override;
    bool limitsCapacity() const override;
    void recordPlacement(const DirectoryRecord &server, const NewFlow &flow, TimePoint now) override;

    /** Counts a flow that was refused because no other server could take it. */
    void recordRefusal();

    void writeMetrics(MetricWriter &writer) const override;

private:
    using PlacementTimes = std::unordered_map<std::uint32_t, std::deque<TimePoint>>;

    double limitOf(const DirectoryRecord &server, TimePoint now) const;
    std::size_t shareOf(std::uint32_t token, double limit) const;
    bool mayJoin(double limit, TimePoint now) const;
    void refreshRoster(TimePoint now) const;

    bool isStalled(TimePoint now) const;

    TimePoint m_runningSince; // since the start or the last stall
    TimePoint m_lastTick {};
    const InstanceRoster *m_roster = nullptr;
    std::map<std::string, double, std::less<>> m_limits; // new flows a second by service; services without a limit are missing
    PlacementTimes m_placedAt; // by token, the times of the placements within the window
    TimePoint m_nextCleanup {};
    std::uint64_t m_placedCount = 0;
    std::uint64_t m_refusedCount = 0;
    // What was computed from the roster at its last refresh.
    mutable TimePoint m_nextRefresh {};
    mutable std::vector<std::string> m_ids;
    mutable std::vector<std::uint64_t> m_idHashes; // of the other instances
    mutable std::uint64_t m_selfHash = 0;
    mutable std::unordered_map<std::uint32_t, std::size_t> m_ranks; // of this instance, by token of a server
};

} // namespace Samphirepitch
