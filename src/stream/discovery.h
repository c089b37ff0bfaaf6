#pragma once

#include "core/clock.h"
#include "core/error.h"
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

/** An entry or configuration that could not be used, and why. */
struct DiscoveryFault {
    std::string subject; /**< the name of the object */
    std::string reason;

    friend bool operator==(const DiscoveryFault &, const DiscoveryFault &) = default;
};

/** All backend servers that discovery lists. */
struct ServerList {
    std::vector<StreamServer> servers;
    std::vector<DiscoveryFault> faults; /**< entries that name no usable server */
    std::uint64_t revision = 0; /**< of the store when the list began to be read */
};

/** What happened to one entry; exactly one member is set. */
struct ServerUpdate {
    std::optional<StreamServer> listed;
    std::optional<std::string> unlisted; /**< id of the server */
    std::optional<DiscoveryFault> fault; /**< the entry was overwritten with something unusable; what was known stays */
    std::uint64_t revision = 0; /**< of the store at the change */
};

/** The changes since a revision. */
struct ServerUpdates {
    std::vector<ServerUpdate> updates; /**< oldest first; empty if the wait ended without one */
    std::uint64_t revision = 0; /**< to continue from */
};

/** The newest configuration, or why it can't be used. */
struct ConfigurationRead {
    std::optional<StreamConfiguration> configuration; /**< none if nothing changed, none exists or it is unusable */
    std::optional<DiscoveryFault> fault;
    std::uint64_t revision = 0; /**< to continue from */
};

/**
 * Where backend servers and the configuration are found. Every call may fail with Unavailable, RateLimited, DeadlineExceeded,
 * OutcomeUnknown, TooLarge or Malformed; the calls that wait also with HistoryGone. Two calls may run at the same time, one for
 * servers and one for the configuration.
 */
class Discovery
{
public:
    virtual ~Discovery() = default;

    /** Reads all entries. */
    virtual asio::awaitable<Result<ServerList>> listServers(TimePoint deadline) = 0;

    /** Waits up to @p wait for changes after @p revision. */
    virtual asio::awaitable<Result<ServerUpdates>> awaitServerUpdates(
        std::uint64_t revision, std::chrono::milliseconds wait, TimePoint deadline)
        = 0;

    /** Reads the configuration. */
    virtual asio::awaitable<Result<ConfigurationRead>> readConfiguration(TimePoint deadline) = 0;

    /** Waits up to @p wait for a configuration newer than @p revision. */
    virtual asio::awaitable<Result<ConfigurationRead>> awaitConfigurationUpdate(
        std::uint64_t revision, std::chrono::milliseconds wait, TimePoint deadline)
        = 0;
};

} // namespace Samphirepitch
