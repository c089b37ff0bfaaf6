#pragma once

#include "stream/discovery.h"
#include "stream/streamserver.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

/** A backend server with the state that the directory keeps for it. */
struct DirectoryRecord {
    StreamServer server;
    std::uint32_t token = 0; /**< identifies this incarnation in packets; never 0 */
    std::vector<std::uint32_t> previousTokens; /**< tokens of earlier incarnations with the same id */
    bool listed = true; /**< whether discovery still lists it */
    /** Whether neither this entry nor another one of the same incarnation is draining, and no other one has a later start. */
    bool takesFlows = true;
    bool tokenTaken = false; /**< whether another server has the same token, so that this one gets no flows */
    TimePoint unlistedAt {}; /**< when discovery stopped listing it; valid only if it is not listed */
};

/** One change that an update made to the directory. */
struct DirectoryChange {
    /** The kinds of changes. */
    enum class Kind {
        Added,
        Changed,
        Restarted, /**< A new incarnation has the same id; what was known of the earlier one no longer holds. */
        Restored, /**< An unlisted server is in the first list of a new era, which may be an old copy; it need not run any more. */
        Removed,
        AddressClaimed, /**< The entry of another server with a later start has the same address. This one may have ended. */
    };

    Kind kind = Kind::Added;
    const DirectoryRecord *record = nullptr; /**< valid until the next expire() */
    std::uint32_t token = 0; /**< token of the incarnation that the change concerns; the record may be of a later one by now */
    std::uint32_t previousToken = 0; /**< token of the incarnation that ended; set only for Restarted */
};

using DirectoryChanges = std::vector<DirectoryChange>;

/** Returns the name of a kind of change as it appears in the log. */
std::string_view directoryChangeName(DirectoryChange::Kind kind);

/**
 * Holds the backend servers that discovery lists, and those that it no longer lists but that may still have flows. Updates may
 * come from several sources, because an earlier position in the store never replaces a later one. What was seen of an incarnation holds
 * irrespective of the store: one that is draining doesn't become ready again.
 *
 * Any writer may leave an entry for a service that is not in use. Such an entry names no server: it is kept for other instances and until
 * its service comes into use, and it changes nothing about the servers, even if it has the id, the address or the start time of one of
 * them.
 */
class ServerDirectory
{
public:
    /** How long an unlisted server is kept. No flow lasts longer: the platform limits the duration of flows by max_flow_s. */
    static constexpr std::chrono::seconds retention { 60 };
    /**
     * A missing entry proves that its server has ended only after the store has worked for this long: entries that expired during an
     * outage are back about 2 s after its end.
     */
    static constexpr std::chrono::milliseconds relistGracePeriod { 2500 };

    /**
     * Returns the token of an incarnation, which is the same on every instance. It depends on the start time: otherwise an instance
     * that doesn't know of a restart yet would mistake flows of the new incarnation for those of the one that ended. It depends on the
     * whole id: otherwise the end of an entry that another writer has copied would end the flows of the server.
     */
    static std::uint32_t tokenOf(const StreamServer &server);

    /**
     * Adds services to those in use. Before the first call, every service is in use. A service stays in use, because its servers may
     * still have flows.
     * @return the changes by entries of these services
     */
    DirectoryChanges useServices(const std::set<std::string> &services);

    /**
     * Replaces the listed servers by a complete list. The first list of a new era may be an older copy, so its entries of incarnations
     * that have ended since are ignored: those after which another one has started with the same id, or at the same address.
     * @param servers all listed servers
     * @param unreadable the ids of entries that could not be read; their servers stay as they are
     * @param position the position of the store at which the list was read; a list older than the directory is ignored
     * @param now the time at which servers that are missing from the list count as unlisted
     * @return the changes, or none if the list is ignored
     */
    DirectoryChanges replaceAll(
        const std::vector<StreamServer> &servers, const std::vector<std::string> &unreadable, StorePosition position, TimePoint now);

    /** Applies changes of entries in their order; see update() and remove(). The work grows with their number, not with its square. */
    DirectoryChanges apply(const std::vector<ServerUpdate> &updates, TimePoint now);

    /** Adds or updates one server. An entry older than that of the directory is ignored. @return the changes */
    DirectoryChanges update(const StreamServer &server);

    /** Marks a server as unlisted, unless its entry is newer than @p position. @return the changes */
    DirectoryChanges remove(const std::string &id, StorePosition position, TimePoint now);

    /** Marks a listed server as unlisted because it has ended, although discovery still lists it. Only a later entry lists it again. */
    void recordEnd(const std::string &id, TimePoint now);

    /** Removes the servers that have been unlisted for the retention time. @return their tokens */
    std::vector<std::uint32_t> expire(TimePoint now);

    /**
     * Returns the server with a token, listed or not, or null. The token of an earlier incarnation leads to the current one: an
     * instance that didn't know of the restart may have sent it flows with that token. The server itself resets flows that it doesn't
     * have. A token that no server has may lead to an entry of a service that is not in use: before this instance started, another
     * configuration may have used the service.
     */
    const DirectoryRecord *findToken(std::uint32_t token) const;

    /** Returns the server with an id, listed or not, or null. */
    const DirectoryRecord *findId(const std::string &id) const;

    /** Returns whether a listed server with another id has the address of a server, and is not the same process. */
    bool isAddressReused(const DirectoryRecord &record) const;

    /** Returns another listed entry with the address, number and start time of a server, which its packets reach as well; or null. */
    const DirectoryRecord *findTwin(const DirectoryRecord &record) const;

    /**
     * Returns whether another listed entry has the address and number of a server and a later start. The packets of the server reach that
     * incarnation, which answers them itself.
     */
    bool hasLaterEntry(const DirectoryRecord &record) const;

    /** Returns the listed servers of a service. */
    const std::vector<const DirectoryRecord *> &listed(const std::string &service) const;

    /** Returns the listed servers of a service in a failure domain. */
    const std::vector<const DirectoryRecord *> &listedIn(const std::string &failureDomain, const std::string &service) const;

    /** Returns the servers of a service that are kept but no longer listed. */
    const std::vector<const DirectoryRecord *> &unlisted(const std::string &service) const;

    /** Returns all listed servers. */
    std::vector<const DirectoryRecord *> all() const;

    /** Returns the entries of services that are not in use, by id. */
    const std::map<std::string, DirectoryRecord> &unused() const;

    /**
     * Returns the changes after a position of the store, for another instance.
     * @return the changes, or nothing if some of them are no longer known and the complete list is needed
     */
    std::optional<std::vector<ServerUpdate>> changesAfter(StorePosition position) const;

    /** Returns how often all indexes were rebuilt, which takes time in proportion to the number of servers. */
    std::uint64_t rebuildCount() const;

    /** Returns all listed servers and unused entries as updates, for another instance. */
    std::vector<ServerUpdate> completeList() const;

    /** Records that the directory holds all changes up to @p position. */
    void advancePosition(StorePosition position);

    /** Returns the position of the store up to which all changes are known; unset before the first list. */
    StorePosition position() const;

private:
    using Records = std::map<std::string, std::unique_ptr<DirectoryRecord>>;

    bool isInUse(const std::string &service) const;
    void putUnused(const StreamServer &server);
    void removeUnused(const std::string &id, StorePosition position);
    void put(StreamServer server, DirectoryChange::Kind relisted, DirectoryChanges &changes);
    void take(const std::string &id, StorePosition position, TimePoint now, DirectoryChanges &changes);
    bool isSuperseded(const StreamServer &server) const;
    void unlist(DirectoryRecord &record, DirectoryChange::Kind kind, TimePoint now, DirectoryChanges &changes);
    void findAddressClaims(const DirectoryRecord &record, bool isNewOwner, DirectoryChanges &changes) const;
    void removeAddress(const DirectoryRecord &record);
    void refreshIndexes();
    void rebuildIndexes();

    std::optional<std::set<std::string>> m_services; // in use; nothing stands for all
    std::map<std::string, DirectoryRecord> m_unused; // entries of services that are not in use, by id
    std::unordered_map<std::uint32_t, const DirectoryRecord *> m_unusedByToken;
    Records m_records;
    std::multimap<Endpoint, DirectoryRecord *> m_byAddress; // all records; a new server may have the address of an earlier one
    std::unordered_map<std::uint32_t, const DirectoryRecord *> m_byToken;
    using Services = std::map<std::string, std::vector<const DirectoryRecord *>>;

    static const std::vector<const DirectoryRecord *> &serversOf(const Services &services, const std::string &service);

    Services m_byService; // listed servers
    std::map<std::string, Services> m_byDomain; // listed servers by failure domain
    Services m_unlisted;
    bool m_indexesAreStale = false; // rebuilt only if needed, since most changes of an entry concern no index
    std::uint64_t m_rebuildCount = 0;
    StorePosition m_position;
    StorePosition m_forgottenPosition; // highest position of a removal that may have no record
};

} // namespace Samphirepitch
