#pragma once

#include "stream/discovery.h"
#include "stream/streamserver.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

/** A backend server and what the directory adds to its entry. */
struct DirectoryRecord {
    StreamServer server;
    std::uint32_t token = 0; /**< names this incarnation in packets; never 0 */
    std::vector<std::uint32_t> previousTokens; /**< of earlier incarnations under the id */
    bool listed = true; /**< whether discovery still lists it */
    bool tokenTaken = false; /**< another server has the same token; this one takes no flows */
    TimePoint unlistedAt {}; /**< when it was last seen to be missing; only if it is not listed */
};

/** One difference that an update made. */
struct DirectoryChange {
    /** What happened. */
    enum class Kind {
        Added,
        Changed,
        Restarted, /**< A new incarnation under the same id; what was known of the earlier one is void. */
        Removed,
        AddressReused, /**< A server of another id got its address, so this one has ended. */
    };

    Kind kind = Kind::Added;
    const DirectoryRecord *record = nullptr; /**< valid until the next expire() */
    std::uint32_t previousToken = 0; /**< of the incarnation that ended; only of Restarted */
};

using DirectoryChanges = std::vector<DirectoryChange>;

/** Returns the lower-case name of a kind of change, for logs. */
std::string_view directoryChangeName(DirectoryChange::Kind kind);

/**
 * The backend servers that discovery lists, and those that it no longer lists but that may still hold flows. Older revisions
 * never replace newer ones, so that updates may come from several sources.
 */
class ServerDirectory
{
public:
    /** How long an unlisted server is remembered; no flow is older. Platform bound max_flow_s. */
    static constexpr std::chrono::seconds retention { 60 };
    /**
     * A missing entry is proof of its server's end only after this time without trouble of the store: entries that lapsed during an outage
     * are back about 2 s after it.
     */
    static constexpr std::chrono::milliseconds relistGracePeriod { 2500 };

    /**
     * Returns the placement token of an incarnation; the same on every instance. It depends on the start time, because an instance
     * that has not heard of a restart would take flows of the new incarnation for those of the one that ended.
     */
    static std::uint32_t tokenOf(const StreamServer &server);

    /**
     * Takes a complete list.
     * @param servers all listed servers
     * @param unreadable ids of entries that could not be read; their servers stay as they are
     * @param revision of the store at which the list was read; a list older than the directory changes nothing
     */
    DirectoryChanges replaceAll(
        const std::vector<StreamServer> &servers, const std::vector<std::string> &unreadable, std::uint64_t revision, TimePoint now);

    /** Takes the entry of one server; one older than the directory's changes nothing. */
    DirectoryChanges update(const StreamServer &server, TimePoint now);

    /** Takes the removal of an entry at @p revision of the store. */
    DirectoryChanges remove(const std::string &id, std::uint64_t revision, TimePoint now);

    /** Forgets servers that were unlisted longer ago than the retention. @return their tokens */
    std::vector<std::uint32_t> expire(TimePoint now);

    /**
     * Returns the server that a token names, listed or not, or nothing. The token of an earlier incarnation gives the current one: an
     * instance that had not heard of the restart may have given it flows under that token, and it resets those that it does not
     * hold by itself.
     */
    const DirectoryRecord *findToken(std::uint32_t token) const;

    /** Returns the server of an id, listed or not, or nothing. */
    const DirectoryRecord *findId(const std::string &id) const;

    /** Returns the listed servers of a service. */
    const std::vector<const DirectoryRecord *> &listed(const std::string &service) const;

    /** Returns the listed servers of a service in a failure domain. */
    const std::vector<const DirectoryRecord *> &listedIn(const std::string &failureDomain, const std::string &service) const;

    /** Returns the servers of a service that are remembered and no longer listed. */
    const std::vector<const DirectoryRecord *> &unlisted(const std::string &service) const;

    /** Returns all listed servers. */
    std::vector<const DirectoryRecord *> all() const;

    /**
     * Returns the changes of entries after a revision, for another instance.
     * @return nothing if some of them are no longer known, so that only the complete list helps
     */
    std::optional<std::vector<ServerUpdate>> changesAfter(std::uint64_t revision) const;

    /** Returns all listed entries as changes, for another instance. */
    std::vector<ServerUpdate> completeList() const;

    /** All changes up to @p revision of the store have been taken. */
    void advanceRevision(std::uint64_t revision);

    /** Returns the revision of the store up to which all changes are known; 0 before the first list. */
    std::uint64_t revision() const;

private:
    using Records = std::map<std::string, std::unique_ptr<DirectoryRecord>>;

    void put(const StreamServer &server, TimePoint now, DirectoryChanges &changes);
    void unlist(DirectoryRecord &record, DirectoryChange::Kind kind, TimePoint now, DirectoryChanges &changes);
    void unlistPreviousOwner(const StreamServer &server, TimePoint now, DirectoryChanges &changes);
    void removeAddress(const DirectoryRecord &record);
    void refreshIndexes();
    void rebuildIndexes();

    Records m_records;
    std::multimap<Endpoint, DirectoryRecord *> m_byAddress; // all records; an address may pass from one server to the next
    std::unordered_map<std::uint32_t, const DirectoryRecord *> m_byToken;
    using Services = std::map<std::string, std::vector<const DirectoryRecord *>>;

    static const std::vector<const DirectoryRecord *> &serversOf(const Services &services, const std::string &service);

    Services m_byService; // the listed ones
    std::map<std::string, Services> m_byDomain; // the same
    Services m_unlisted;
    bool m_indexesAreStale = false; // most changes of an entry concern no index
    std::uint64_t m_revision = 0;
    std::uint64_t m_forgottenRevision = 0; // the highest revision of a removal that is no longer known
};

} // namespace Samphirepitch
