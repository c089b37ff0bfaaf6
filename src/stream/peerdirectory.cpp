#include "stream/peerdirectory.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr std::uint64_t rankHashSeed = 0x72656164; // makes the ranking independent of other hashes of ids

bool isNewer(const PeerRecord &left, const PeerRecord &right)
{
    return std::pair(left.startedAt, left.heartbeat) > std::pair(right.startedAt, right.heartbeat);
}

} // namespace

PeerDirectory::PeerDirectory(PeerRecord self)
    : m_self(std::move(self))
    , m_selfHash(hash64(m_self.id, rankHashSeed))
{
}

PeerDirectory::RankKey PeerDirectory::rankKey(const PeerRecord &record, std::uint64_t hash)
{
    return { !record.storeReachable, hash };
}

const PeerRecord &PeerDirectory::self() const
{
    return m_self;
}

void PeerDirectory::incrementHeartbeat()
{
    ++m_self.heartbeat;
}

bool PeerDirectory::setStoreReachable(bool reachable)
{
    return std::exchange(m_self.storeReachable, reachable) != reachable;
}

bool PeerDirectory::merge(const PeerRecord &record, TimePoint now)
{
    if (record.id == m_self.id || record.address == m_self.address) {
        return false;
    }
    const auto [found, isNew] = m_entries.try_emplace(record.id, Entry { record, hash64(record.id, rankHashSeed), now + heartbeatTimeout });
    if (isNew) {
        return true;
    }
    Entry &entry = found->second;
    const bool wasAlive = now < entry.deadline;
    // If the wall clock was set back before a restart, the new incarnation has an earlier start time than the old one.
    const bool isOtherIncarnation = !wasAlive && record.startedAt != entry.record.startedAt;
    if (!isNewer(record, entry.record) && !isOtherIncarnation) {
        return false;
    }
    entry.record = record;
    entry.deadline = now + heartbeatTimeout;
    return !wasAlive;
}

void PeerDirectory::markDead(const std::string &id, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end()) {
        found->second.deadline = std::min(found->second.deadline, now);
    }
}

void PeerDirectory::expire(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &entry) { return entry.second.deadline + retention <= now; });
}

std::vector<PeerRecord> PeerDirectory::ranking(TimePoint now) const
{
    std::vector<PeerRecord> records = selectRecords(true, now);
    records.push_back(m_self);
    const auto key = [](const PeerRecord &record) { return rankKey(record, hash64(record.id, rankHashSeed)); };
    std::sort(records.begin(), records.end(), [&key](const PeerRecord &left, const PeerRecord &right) { return key(left) < key(right); });
    return records;
}

std::size_t PeerDirectory::rank(TimePoint now) const
{
    const RankKey self = rankKey(m_self, m_selfHash);
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [&](const auto &entry) { return now < entry.second.deadline && rankKey(entry.second.record, entry.second.hash) < self; }));
}

bool PeerDirectory::isReader(TimePoint now) const
{
    return rank(now) == 0;
}

const std::string &PeerDirectory::readerId(TimePoint now) const
{
    RankKey first = rankKey(m_self, m_selfHash);
    const std::string *reader = &m_self.id;
    for (const auto &[id, entry] : m_entries) {
        const RankKey key = rankKey(entry.record, entry.hash);
        if (now < entry.deadline && key < first) {
            first = key;
            reader = &id;
        }
    }
    return *reader;
}

std::size_t PeerDirectory::aliveCount(TimePoint now) const
{
    return 1 + static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [now](const auto &entry) {
        return now < entry.second.deadline;
    }));
}

std::vector<std::string> PeerDirectory::recentIds() const
{
    std::vector<std::string> ids { m_self.id };
    for (const auto &[id, entry] : m_entries) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::vector<Endpoint> PeerDirectory::children(TimePoint now) const
{
    const std::vector<PeerRecord> records = ranking(now);
    const auto self = std::find_if(records.begin(), records.end(), [this](const PeerRecord &record) { return record.id == m_self.id; });
    const auto first = static_cast<std::size_t>(self - records.begin()) * treeArity + 1;
    std::vector<Endpoint> addresses;
    for (std::size_t index = first; index < std::min(first + treeArity, records.size()); ++index) {
        addresses.push_back(records[index].address);
    }
    return addresses;
}

std::vector<PeerRecord> PeerDirectory::sample(std::size_t count, RandomSource &random, TimePoint now) const
{
    std::vector<PeerRecord> records = selectRecords(true, now);
    count = std::min(count, records.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(records[index], records[index + random.below(records.size() - index)]);
    }
    records.resize(count);
    return records;
}

std::optional<PeerRecord> PeerDirectory::sampleDead(RandomSource &random, TimePoint now) const
{
    const std::vector<PeerRecord> records = selectRecords(false, now);
    return records.empty() ? std::nullopt : std::optional(records[random.below(records.size())]);
}

std::vector<PeerRecord> PeerDirectory::selectRecords(bool alive, TimePoint now) const
{
    std::vector<PeerRecord> records;
    for (const auto &[id, entry] : m_entries) {
        if ((now < entry.deadline) == alive) {
            records.push_back(entry.record);
        }
    }
    return records;
}

} // namespace Samphirepitch
