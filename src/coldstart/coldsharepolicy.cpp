#include "coldstart/coldsharepolicy.h"

#include "core/hash.h"
#include "stream/streamlimits.h"

#include <algorithm>
#include <cmath>

namespace Samphirepitch
{

namespace
{

constexpr std::uint64_t shareHashSeed = 0x636f6c64; // makes the ranking independent of other hashes of ids

// Servers that are no longer cold leave their times behind. They are few, so removing them this often is enough.
constexpr std::chrono::seconds cleanupInterval { 10 };

// Ranks of servers that have ended are removed with all others once there are this many, which is above the planned number of servers.
constexpr std::size_t maxRanks = 100000;

/** Returns the span within which this instance sends at most its share. */
std::chrono::nanoseconds windowOf(double limit)
{
    constexpr double maxSeconds = std::chrono::duration<double>(StreamLimits::maxColdTime).count();
    const double seconds = std::min(1 / limit, maxSeconds); // also bounds limits so small that their inverse is infinite
    const auto interval = std::chrono::nanoseconds(static_cast<std::int64_t>(std::ceil(seconds * 1e9)));
    return std::max<std::chrono::nanoseconds>(interval, ColdSharePolicy::minWindow);
}

/** Returns the whole part of the limit, at least 1: the largest number of instances that may send to one server. */
std::size_t wholeLimit(double limit)
{
    return static_cast<std::size_t>(std::max(1.0, std::floor(limit)));
}

} // namespace

ColdSharePolicy::ColdSharePolicy(TimePoint startedAt)
    : m_runningSince(startedAt)
{
}

void ColdSharePolicy::useRoster(const InstanceRoster &roster)
{
    m_roster = &roster;
    m_nextRefresh = TimePoint();
}

void ColdSharePolicy::applyConfiguration(const StreamConfiguration &configuration)
{
    m_limits.clear();
    for (const auto &[service, limits] : configuration.services) {
        if (limits.coldFlowsPerSecond > 0) {
            m_limits.emplace(service, limits.coldFlowsPerSecond);
        }
    }
}

void ColdSharePolicy::tick(TimePoint now)
{
    if (isStalled(now)) {
        m_runningSince = now;
    }
    m_lastTick = now;
}

bool ColdSharePolicy::isStalled(TimePoint now) const
{
    return m_lastTick != TimePoint() && now - m_lastTick > maxStall;
}

std::string_view ColdSharePolicy::name() const
{
    return "cold_share";
}

bool ColdSharePolicy::limitsCapacity() const
{
    return false; // other instances send to the server instead
}

PlacementVerdict ColdSharePolicy::judge(const DirectoryRecord &server, const NewFlow &flow, TimePoint now) const
{
    static_cast<void>(flow);
    const double limit = limitOf(server, now);
    if (limit == 0) {
        return PlacementVerdict::Allowed;
    }
    if (!mayJoin(limit, now)) {
        return PlacementVerdict::Forbidden;
    }
    refreshRoster(now);
    const std::size_t share = shareOf(server.token, limit);
    const auto found = m_placedAt.find(server.token);
    if (share == 0 || found == m_placedAt.end() || found->second.size() < share) {
        return share == 0 ? PlacementVerdict::Forbidden : PlacementVerdict::Allowed;
    }
    // The times are in ascending order, so the share is used up if the placement that many places from the end is in the window.
    const TimePoint deciding = *(found->second.end() - static_cast<std::ptrdiff_t>(share));
    return now - deciding <= windowOf(limit) ? PlacementVerdict::Forbidden : PlacementVerdict::Allowed;
}

void ColdSharePolicy::recordPlacement(const DirectoryRecord &server, const NewFlow &flow, TimePoint now)
{
    static_cast<void>(flow);
    const double limit = limitOf(server, now);
    if (limit == 0) {
        return;
    }
    ++m_placedCount;
    std::deque<TimePoint> &times = m_placedAt[server.token];
    while (!times.empty() && now - times.front() > windowOf(limit)) {
        times.pop_front();
    }
    times.push_back(now);
    if (now >= m_nextCleanup) {
        m_nextCleanup = now + cleanupInterval;
        // A window is at most as long as the longest cold time; the shorter ones are found by their limits when the server is judged.
        const double least = std::min_element(m_limits.begin(), m_limits.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        })->second;
        std::erase_if(m_placedAt, [&](const auto &entry) { return now - entry.second.back() > windowOf(least); });
    }
}

void ColdSharePolicy::recordRefusal()
{
    ++m_refusedCount;
}

double ColdSharePolicy::limitOf(const DirectoryRecord &server, TimePoint now) const
{
    if (now >= server.server.coldUntil || m_limits.empty()) {
        return 0;
    }
    const auto found = m_limits.find(server.server.service);
    return found == m_limits.end() ? 0 : found->second;
}

bool ColdSharePolicy::mayJoin(double limit, TimePoint now) const
{
    if (m_roster == nullptr) {
        return true;
    }
    // The incarnation before, and the instance that this one replaces in the ranking, may have sent until the others counted this one.
    return m_roster->isSettled(now) && !isStalled(now) && now >= m_runningSince + joinTime + windowOf(limit);
}

std::size_t ColdSharePolicy::shareOf(std::uint32_t token, double limit) const
{
    const std::size_t whole = wholeLimit(limit);
    const std::size_t senders = std::min(whole, m_idHashes.size() + 1);
    const auto [found, isNew] = m_ranks.try_emplace(token, 0);
    if (isNew) {
        const std::uint64_t own = mix64(m_selfHash, token);
        found->second = static_cast<std::size_t>(
            std::count_if(m_idHashes.begin(), m_idHashes.end(), [&](std::uint64_t hash) { return mix64(hash, token) < own; }));
    }
    return found->second < senders ? whole / senders : 0;
}

void ColdSharePolicy::refreshRoster(TimePoint now) const
{
    if (m_roster == nullptr || now < m_nextRefresh) {
        return;
    }
    m_nextRefresh = now + rosterInterval;
    std::vector<std::string> ids = m_roster->recentIds(now);
    if (ids == m_ids && m_ranks.size() < maxRanks) {
        return;
    }
    m_ids = std::move(ids);
    m_ranks.clear();
    m_idHashes.clear();
    m_selfHash = hash64(m_roster->selfId(), shareHashSeed);
    for (const std::string &id : m_ids) {
        if (id != m_roster->selfId()) {
            m_idHashes.push_back(hash64(id, shareHashSeed));
        }
    }
}

void ColdSharePolicy::writeMetrics(MetricWriter &writer) const
{
    writer.counter("samphirepitch_cold_flows_total", "New flows to cold servers whose service has a limit for them.", {}, m_placedCount);
    writer.counter("samphirepitch_cold_flows_refused_total",
        "New flows that were refused because this instance has used up its shares of the cold servers that could take them.", {},
        m_refusedCount);
}

} // namespace Samphirepitch
