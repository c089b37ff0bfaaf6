#include "stream/serverdirectory.h"

#include "core/hash.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Samphirepitch
{

namespace
{

// Number of earlier incarnations of a server that are kept, because their flows may still be open. If a server restarts more often, its
// oldest flows have ended.
constexpr std::size_t maxPreviousTokens = 8;

// Servers follow each other at an address. More entries than this at one address are no evidence about any of them.
constexpr std::size_t maxAddressOwners = 8;

bool hasSameContent(StreamServer first, const StreamServer &second)
{
    first.position = second.position;
    return first == second;
}

/** Returns whether two entries with the same address describe one process: their packets reach the same server. */
bool isSameIncarnation(const StreamServer &first, const StreamServer &second)
{
    return first.number == second.number && first.startedAt == second.startedAt && first.startedAt != 0;
}

} // namespace

std::string_view directoryChangeName(DirectoryChange::Kind kind)
{
    switch (kind) {
    case DirectoryChange::Kind::Added:
        return "added";
    case DirectoryChange::Kind::Changed:
        return "changed";
    case DirectoryChange::Kind::Restarted:
        return "restarted";
    case DirectoryChange::Kind::Restored:
        return "restored";
    case DirectoryChange::Kind::Removed:
        return "removed";
    case DirectoryChange::Kind::AddressClaimed:
        return "address_claimed";
    }
    return "unknown";
}

std::uint32_t ServerDirectory::tokenOf(const StreamServer &server)
{
    constexpr std::uint64_t tokenDomain = 0x746f6b656e; // separates tokens from other hashes of the same values
    const auto token = static_cast<std::uint32_t>(mix64(hash64(server.id, tokenDomain), static_cast<std::uint64_t>(server.startedAt)));
    return token == 0 ? 1 : token; // 0 marks packets without a token
}

DirectoryChanges ServerDirectory::useServices(const std::set<std::string> &services)
{
    DirectoryChanges changes;
    if (!m_services) {
        m_services.emplace();
    }
    m_services->insert(services.begin(), services.end());
    std::vector<StreamServer> used;
    for (const auto &[id, record] : m_unused) {
        if (isInUse(record.server.service)) {
            used.push_back(record.server);
        }
    }
    for (const StreamServer &server : used) {
        put(server, DirectoryChange::Kind::Added, changes);
    }
    refreshIndexes();
    return changes;
}

bool ServerDirectory::isInUse(const std::string &service) const
{
    return !m_services || m_services->contains(service);
}

void ServerDirectory::putUnused(const StreamServer &server)
{
    const auto known = m_unused.find(server.id);
    if (known != m_unused.end() && server.position < known->second.server.position) {
        return;
    }
    removeUnused(server.id, server.position);
    DirectoryRecord &record = m_unused[server.id];
    record = { .server = server, .token = tokenOf(server), .takesFlows = server.phase == ServerPhase::Ready };
    m_unusedByToken.insert_or_assign(record.token, &record);
    if (const auto found = m_records.find(server.id); found != m_records.end()) {
        // The server stays as it is, like after an entry that can't be read.
        found->second->server.position = std::max(found->second->server.position, server.position);
    }
}

void ServerDirectory::removeUnused(const std::string &id, StorePosition position)
{
    const auto found = m_unused.find(id);
    if (found == m_unused.end() || found->second.server.position > position) {
        return;
    }
    const auto holder = m_unusedByToken.find(found->second.token);
    if (holder != m_unusedByToken.end() && holder->second == &found->second) {
        m_unusedByToken.erase(holder);
    }
    m_unused.erase(found);
}

DirectoryChanges ServerDirectory::replaceAll(
    const std::vector<StreamServer> &servers, const std::vector<std::string> &unreadable, StorePosition position, TimePoint now)
{
    DirectoryChanges changes;
    if (position < m_position) {
        return changes;
    }
    const bool mayBeOldCopy = !m_position.isUnset() && position.era() > m_position.era();
    const auto relisted = mayBeOldCopy ? DirectoryChange::Kind::Restored : DirectoryChange::Kind::Added;
    if (position > m_position) {
        m_forgottenPosition = position; // the list doesn't name servers that were removed before, which may have no record here
    }
    m_position = position;
    std::set<std::string_view> present(unreadable.begin(), unreadable.end());
    for (const StreamServer &server : servers) {
        present.insert(server.id);
        if (!mayBeOldCopy || !isSuperseded(server)) {
            put(server, relisted, changes);
        } else {
            m_records.at(server.id)->server.position = position; // further lists of this era may still contain the entry
        }
    }
    for (auto entry = m_unused.begin(); entry != m_unused.end();) {
        const std::string id = (entry++)->first;
        if (!present.contains(id)) {
            removeUnused(id, position);
        }
    }
    for (auto &[id, record] : m_records) {
        if (record->listed && !present.contains(id) && record->server.position <= position) {
            record->server.position = position; // the list holds no position of the removal itself
            unlist(*record, DirectoryChange::Kind::Removed, now, changes);
        } else if (record->listed && record->server.position.era() < position.era()) {
            record->server.position = position; // the entry is unreadable or of an ended incarnation; later changes must apply
        }
    }
    refreshIndexes();
    return changes;
}

DirectoryChanges ServerDirectory::update(const StreamServer &server)
{
    DirectoryChanges changes;
    put(server, DirectoryChange::Kind::Added, changes);
    refreshIndexes();
    return changes;
}

DirectoryChanges ServerDirectory::remove(const std::string &id, StorePosition position, TimePoint now)
{
    DirectoryChanges changes;
    take(id, position, now, changes);
    refreshIndexes();
    return changes;
}

DirectoryChanges ServerDirectory::apply(const std::vector<ServerUpdate> &updates, TimePoint now)
{
    DirectoryChanges changes;
    for (const ServerUpdate &update : updates) {
        if (update.listed) {
            put(*update.listed, DirectoryChange::Kind::Added, changes);
        } else if (update.unlisted) {
            take(*update.unlisted, update.position, now, changes);
        }
    }
    refreshIndexes();
    return changes;
}

void ServerDirectory::take(const std::string &id, StorePosition position, TimePoint now, DirectoryChanges &changes)
{
    removeUnused(id, position);
    const auto found = m_records.find(id);
    if (found == m_records.end()) {
        m_forgottenPosition = std::max(m_forgottenPosition, position); // no record holds this removal for other instances
        return;
    }
    if (found->second->server.position > position) {
        return;
    }
    found->second->server.position = position;
    if (found->second->listed) {
        unlist(*found->second, DirectoryChange::Kind::Removed, now, changes);
    }
}

void ServerDirectory::recordEnd(const std::string &id, TimePoint now)
{
    const auto found = m_records.find(id);
    if (found != m_records.end() && found->second->listed) {
        found->second->listed = false;
        found->second->unlistedAt = now;
        m_indexesAreStale = true;
        refreshIndexes();
    }
}

std::vector<std::uint32_t> ServerDirectory::expire(TimePoint now)
{
    std::vector<std::uint32_t> forgotten;
    for (const auto &[id, record] : m_records) {
        if (!record->listed && record->unlistedAt + retention <= now) {
            forgotten.push_back(record->token);
            m_forgottenPosition = std::max(m_forgottenPosition, record->server.position);
            removeAddress(*record);
        }
    }
    if (!forgotten.empty()) {
        std::erase_if(m_records, [now](const auto &entry) { return !entry.second->listed && entry.second->unlistedAt + retention <= now; });
        rebuildIndexes();
    }
    return forgotten;
}

const DirectoryRecord *ServerDirectory::findToken(std::uint32_t token) const
{
    if (const auto found = m_byToken.find(token); found != m_byToken.end()) {
        return found->second;
    }
    const auto unused = m_unusedByToken.find(token);
    return unused == m_unusedByToken.end() ? nullptr : unused->second;
}

const DirectoryRecord *ServerDirectory::findId(const std::string &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : found->second.get();
}

bool ServerDirectory::isAddressReused(const DirectoryRecord &record) const
{
    const auto [begin, end] = m_byAddress.equal_range(record.server.address);
    return std::any_of(begin, end, [&record](const auto &owner) {
        return owner.second != &record && owner.second->listed && !isSameIncarnation(owner.second->server, record.server);
    });
}

const DirectoryRecord *ServerDirectory::findTwin(const DirectoryRecord &record) const
{
    const auto [begin, end] = m_byAddress.equal_range(record.server.address);
    const auto twin = std::find_if(begin, end, [&record](const auto &owner) {
        return owner.second != &record && owner.second->listed && isSameIncarnation(owner.second->server, record.server);
    });
    return twin == end ? nullptr : twin->second;
}

bool ServerDirectory::hasLaterEntry(const DirectoryRecord &record) const
{
    const auto [begin, end] = m_byAddress.equal_range(record.server.address);
    return std::any_of(begin, end, [&record](const auto &owner) {
        const StreamServer &other = owner.second->server;
        return owner.second->listed && other.number == record.server.number && other.startedAt > record.server.startedAt;
    });
}

const std::vector<const DirectoryRecord *> &ServerDirectory::listed(const std::string &service) const
{
    return serversOf(m_byService, service);
}

const std::vector<const DirectoryRecord *> &ServerDirectory::listedIn(const std::string &failureDomain, const std::string &service) const
{
    static const Services none;
    const auto found = m_byDomain.find(failureDomain);
    return serversOf(found == m_byDomain.end() ? none : found->second, service);
}

const std::vector<const DirectoryRecord *> &ServerDirectory::unlisted(const std::string &service) const
{
    return serversOf(m_unlisted, service);
}

const std::vector<const DirectoryRecord *> &ServerDirectory::serversOf(const Services &services, const std::string &service)
{
    static const std::vector<const DirectoryRecord *> none;
    const auto found = services.find(service);
    return found == services.end() ? none : found->second;
}

std::vector<const DirectoryRecord *> ServerDirectory::all() const
{
    std::vector<const DirectoryRecord *> records;
    for (const auto &[service, servers] : m_byService) {
        records.insert(records.end(), servers.begin(), servers.end());
    }
    return records;
}

const std::map<std::string, DirectoryRecord> &ServerDirectory::unused() const
{
    return m_unused;
}

std::uint64_t ServerDirectory::rebuildCount() const
{
    return m_rebuildCount;
}

std::optional<std::vector<ServerUpdate>> ServerDirectory::changesAfter(StorePosition position) const
{
    if (position.isUnset() || position.era() != m_position.era() || position < m_forgottenPosition) {
        return std::nullopt;
    }
    std::vector<ServerUpdate> changes;
    for (const auto &[id, record] : m_records) {
        if (record->server.position <= position) {
            continue;
        }
        ServerUpdate change;
        change.position = record->server.position;
        if (record->listed) {
            change.listed = record->server;
        } else {
            change.unlisted = id;
        }
        changes.push_back(std::move(change));
    }
    for (const auto &[id, record] : m_unused) {
        if (record.server.position > position) {
            changes.push_back({ .listed = record.server, .unlisted = {}, .fault = {}, .position = record.server.position });
        }
    }
    return changes;
}

std::vector<ServerUpdate> ServerDirectory::completeList() const
{
    std::vector<ServerUpdate> list;
    for (const auto &[id, record] : m_records) {
        if (record->listed) {
            ServerUpdate entry;
            entry.listed = record->server;
            entry.position = record->server.position;
            list.push_back(std::move(entry));
        }
    }
    for (const auto &[id, record] : m_unused) {
        list.push_back({ .listed = record.server, .unlisted = {}, .fault = {}, .position = record.server.position });
    }
    return list;
}

void ServerDirectory::advancePosition(StorePosition position)
{
    m_position = std::max(m_position, position);
}

StorePosition ServerDirectory::position() const
{
    return m_position;
}

void ServerDirectory::put(StreamServer server, DirectoryChange::Kind relisted, DirectoryChanges &changes)
{
    if (!isInUse(server.service)) {
        putUnused(server);
        return;
    }
    removeUnused(server.id, server.position);
    std::unique_ptr<DirectoryRecord> &record = m_records[server.id];
    if (!record) {
        record = std::make_unique<DirectoryRecord>(DirectoryRecord { .server = server, .token = tokenOf(server) });
        m_byAddress.emplace(server.address, record.get());
        m_indexesAreStale = true;
        changes.push_back({ DirectoryChange::Kind::Added, record.get(), record->token });
        findAddressClaims(*record, true, changes);
        return;
    }
    const bool hasSameStart = server.startedAt != 0 && server.startedAt == record->server.startedAt;
    if (hasSameStart && record->server.phase == ServerPhase::Draining) {
        server.phase = ServerPhase::Draining;
    }
    if (server.position < record->server.position) {
        return;
    }
    if (!record->listed && server.position == record->server.position && hasSameContent(server, record->server)) {
        return; // the server ended after it wrote this entry; see recordEnd()
    }
    if (record->listed && hasSameContent(server, record->server)) {
        record->server.position = server.position; // in a new era, the position of every entry differs
        return;
    }
    const bool restarted = server.startedAt != 0 && record->server.startedAt != 0 && server.startedAt != record->server.startedAt;
    const bool wasListed = record->listed;
    const std::uint32_t previousToken = restarted ? record->token : 0;
    const bool hasMoved = record->server.address != server.address;
    if (hasMoved) {
        removeAddress(*record);
        m_byAddress.emplace(server.address, record.get());
    }
    const bool isMoved = server.service != record->server.service || server.failureDomain != record->server.failureDomain;
    const bool hasOtherPhase = server.phase != record->server.phase;
    m_indexesAreStale = m_indexesAreStale || isMoved || hasMoved || hasOtherPhase || !wasListed || tokenOf(server) != record->token;
    record->server = server;
    record->listed = true;
    record->token = tokenOf(server);
    if (restarted) {
        record->previousTokens.push_back(previousToken);
        if (record->previousTokens.size() > maxPreviousTokens) {
            record->previousTokens.erase(record->previousTokens.begin());
        }
    }
    const auto kind = restarted ? DirectoryChange::Kind::Restarted : wasListed ? DirectoryChange::Kind::Changed : relisted;
    changes.push_back({ kind, record.get(), record->token, previousToken });
    findAddressClaims(*record, restarted || hasMoved || !wasListed, changes);
}

bool ServerDirectory::isSuperseded(const StreamServer &server) const
{
    const DirectoryRecord *const known = findId(server.id);
    if (known == nullptr || server.startedAt == 0) {
        return false;
    }
    if (known->listed || known->server.startedAt != server.startedAt) {
        return server.startedAt < known->server.startedAt;
    }
    const auto [begin, end] = m_byAddress.equal_range(server.address);
    return std::any_of(begin, end,
        [&server](const auto &owner) { return owner.second->server.id != server.id && owner.second->server.startedAt > server.startedAt; });
}

void ServerDirectory::unlist(DirectoryRecord &record, DirectoryChange::Kind kind, TimePoint now, DirectoryChanges &changes)
{
    record.listed = false;
    record.unlistedAt = now;
    m_indexesAreStale = true;
    changes.push_back({ kind, &record, record.token });
}

void ServerDirectory::findAddressClaims(const DirectoryRecord &record, bool isNewOwner, DirectoryChanges &changes) const
{
    const auto isLater = [](const StreamServer &left, const StreamServer &right) {
        return left.position > right.position && left.startedAt > right.startedAt;
    };
    const auto [begin, end] = m_byAddress.equal_range(record.server.address);
    DirectoryChanges claims;
    bool isClaimed = false;
    std::size_t owners = 0;
    for (auto owner = begin; owner != end; ++owner) {
        if (++owners > maxAddressOwners) {
            return;
        }
        const DirectoryRecord &other = *owner->second;
        if (&other == &record || !other.listed) {
            continue;
        }
        if (isNewOwner && isLater(record.server, other.server)) {
            claims.push_back({ DirectoryChange::Kind::AddressClaimed, &other, other.token });
        }
        isClaimed = isClaimed || isLater(other.server, record.server);
    }
    if (isClaimed) {
        claims.push_back({ DirectoryChange::Kind::AddressClaimed, &record, record.token });
    }
    changes.insert(changes.end(), claims.begin(), claims.end());
}

void ServerDirectory::removeAddress(const DirectoryRecord &record)
{
    const auto [begin, end] = m_byAddress.equal_range(record.server.address);
    const auto owner = std::find_if(begin, end, [&record](const auto &entry) { return entry.second == &record; });
    if (owner != end) {
        m_byAddress.erase(owner);
    }
}

void ServerDirectory::refreshIndexes()
{
    if (std::exchange(m_indexesAreStale, false)) {
        rebuildIndexes();
    }
}

void ServerDirectory::rebuildIndexes()
{
    ++m_rebuildCount;
    m_byToken.clear();
    m_byService.clear();
    m_byDomain.clear();
    m_unlisted.clear();
    // The copy of an entry, made by another writer before its server began to drain or started again, must not keep the server in use.
    std::set<std::tuple<Endpoint, std::uint64_t, std::int64_t>> draining;
    std::map<std::pair<Endpoint, std::uint64_t>, std::int64_t> latestStarts; // of listed entries, by address and number
    for (const auto &[id, record] : m_records) {
        const StreamServer &server = record->server;
        if (record->listed) {
            std::int64_t &latest = latestStarts[{ server.address, server.number }];
            latest = std::max(latest, server.startedAt);
        }
        if (server.phase == ServerPhase::Draining && server.startedAt != 0) {
            draining.emplace(server.address, server.number, server.startedAt);
        }
    }
    for (auto &[id, record] : m_records) {
        const StreamServer &server = record->server;
        const bool isDraining
            = server.phase == ServerPhase::Draining || draining.contains({ server.address, server.number, server.startedAt });
        const auto latest = latestStarts.find({ server.address, server.number });
        record->takesFlows = !isDraining && (latest == latestStarts.end() || server.startedAt >= latest->second);
    }
    // The map is sorted by id, so of two servers with the same token every instance chooses the one with the smaller id.
    for (auto &[id, record] : m_records) {
        const auto [holder, isFirst] = m_byToken.try_emplace(record->token, record.get());
        record->tokenTaken = !isFirst;
        Services &services = record->listed ? m_byService : m_unlisted;
        services[record->server.service].push_back(record.get());
        if (record->listed) {
            m_byDomain[record->server.failureDomain][record->server.service].push_back(record.get());
        }
    }
    for (const auto &[id, record] : m_records) {
        for (const std::uint32_t token : record->previousTokens) {
            m_byToken.try_emplace(token, record.get());
        }
    }
}

} // namespace Samphirepitch
