#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "evacuation/evacuationview.h"
#include "stream/storeposition.h"
#include "stream/streamconfiguration.h"
#include "stream/streamserver.h"

#include <asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** A server entry or a configuration that is invalid, and the reason. */
struct DiscoveryFault {
    std::string subject; /**< name of the invalid object in the store */
    std::string reason;

    friend bool operator==(const DiscoveryFault &, const DiscoveryFault &) = default;
};

/** All entries of backend servers in the store, valid and invalid. */
struct ServerList {
    std::vector<StreamServer> servers;
    std::vector<DiscoveryFault> faults; /**< entries that do not describe a valid server */
    StorePosition position; /**< of the store at the start of the read; updates are requested from here */
};

/** The change of one server entry. Exactly one of listed, unlisted and fault is set. */
struct ServerUpdate {
    std::optional<StreamServer> listed; /**< the server of a new or changed entry */
    std::optional<std::string> unlisted; /**< id of the server whose entry was removed */
    std::optional<DiscoveryFault> fault; /**< why the new content of the entry is invalid; the last valid content stays in use */
    StorePosition position; /**< of the change */
};

/** The changes of server entries after a store revision. */
struct ServerUpdates {
    std::vector<ServerUpdate> updates; /**< oldest first; empty if nothing changed during the wait */
    StorePosition position; /**< from which to request the next updates */
    bool endedEarly = false; /**< nothing changed and the wait was not over, so that the response may be older than the call */
};

/** The result of reading the configuration, or of waiting for a newer one. */
struct ConfigurationRead {
    std::optional<StreamConfiguration> configuration; /**< not set if nothing changed, none exists or the newest one is invalid */
    std::optional<DiscoveryFault> fault; /**< why the newest configuration is invalid */
    StorePosition position; /**< from which to wait for the next change */
    std::vector<DiscoveryFault> ignored; /**< the unknown or invalid parts of the configuration; each costs at most its own route */
    bool endedEarly = false; /**< nothing changed and the wait was not over, so that the response may be older than the call */
};

/** All evacuations in the store. */
struct EvacuationList {
    std::vector<Evacuation> evacuations;
    std::vector<DiscoveryFault> odd; /**< unusual entries; one that has a readable name counts as an evacuation all the same */
    StorePosition position; /**< of the store at the start of the read; if the kind is unknown, only its era is meaningful */
    bool isUnknownKind = false; /**< whether the store doesn't know this kind of object, which means that there are no evacuations */
};

/** The changes of evacuations after a store revision. */
struct EvacuationUpdates {
    std::vector<EvacuationUpdate> updates; /**< oldest first; empty if nothing changed during the wait */
    std::vector<DiscoveryFault> odd; /**< see EvacuationList */
    StorePosition position; /**< from which to request the next updates */
    bool endedEarly = false; /**< nothing changed and the wait was not over, so that the response may be older than the call */
};

/**
 * Source of the backend servers, the configuration and the evacuations, such as a store. Implementations report an invalid entry as a fault
 * in the result and the failure of a whole call as an error: Unavailable, RateLimited, DeadlineExceeded, OutcomeUnknown, TooLarge or
 * Malformed. One call for servers, one for the configuration and one for evacuations may run at the same time.
 */
class Discovery
{
public:
    virtual ~Discovery() = default;

    /** Reads all server entries. @return the list, or an error; HistoryGone if the store returned from an older copy meanwhile */
    virtual asio::awaitable<Result<ServerList>> listServers(TimePoint deadline) = 0;

    /**
     * Waits for changes of server entries. A result of another era than that of @p revision does not continue what the caller knows.
     * @param revision store revision after which changes are returned
     * @param wait longest time to wait for a change; 0 returns at once
     * @return the changes, or an error; HistoryGone if the store no longer keeps the changes after @p revision
     */
    virtual asio::awaitable<Result<ServerUpdates>> awaitServerUpdates(
        std::uint64_t revision, std::chrono::milliseconds wait, TimePoint deadline)
        = 0;

    /** Reads the configuration. */
    virtual asio::awaitable<Result<ConfigurationRead>> readConfiguration(TimePoint deadline) = 0;

    /**
     * Waits for a new configuration. A result of another era than that of @p revision does not continue what the caller knows.
     * @param revision store revision after which changes are returned
     * @param wait longest time to wait for a change; 0 returns at once
     * @return the newest configuration, or an error; HistoryGone if the store no longer keeps the changes after @p revision
     */
    virtual asio::awaitable<Result<ConfigurationRead>> awaitConfigurationUpdate(
        std::uint64_t revision, std::chrono::milliseconds wait, TimePoint deadline)
        = 0;

    /** Reads all evacuations. @return the list, or an error; HistoryGone if the store returned from an older copy meanwhile */
    virtual asio::awaitable<Result<EvacuationList>> listEvacuations(TimePoint deadline) = 0;

    /**
     * Waits for changes of evacuations. A result of another era than that of @p revision does not continue what the caller knows.
     * @param revision store revision after which changes are returned
     * @param wait longest time to wait for a change; 0 returns at once
     * @return the changes, or an error; HistoryGone if a complete read is needed instead
     */
    virtual asio::awaitable<Result<EvacuationUpdates>> awaitEvacuationUpdates(
        std::uint64_t revision, std::chrono::milliseconds wait, TimePoint deadline)
        = 0;
};

} // namespace Samphirepitch
