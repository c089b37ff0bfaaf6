#pragma once

#include "core/clock.h"
#include "core/eventsink.h"
#include "core/metricsource.h"
#include "core/random.h"
#include "objectstore/timer.h"
#include "stream/discovery.h"

#include <asio/awaitable.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

class StreamRouter;

/** Decides whether this instance reads the store, and passes on what it read, so that one instance can read the store for all. */
class StoreReadCoordinator
{
public:
    virtual ~StoreReadCoordinator() = default;

    /** Returns whether this instance watches the store by long polling. */
    virtual bool watchesStore() const = 0;

    /**
     * Returns whether this instance has to read the store once although another instance watches it.
     * @param lastConfirmed when the servers or the configuration of this instance were last known to be complete; TimePoint()
     * if never
     */
    virtual bool mustRead(TimePoint lastConfirmed) const = 0;

    /** Returns how many instances, with this one, retry the store during an outage. The more there are, the less often each retries. */
    virtual std::size_t retryingInstances() const = 0;

    /**
     * Passes changes of servers on to the other instances. The router of this instance has applied them already.
     * @param from store revision after which the changes were read; 0 after a complete list, which is passed without its entries
     * @param updates the changes and the store revision up to which they are complete
     */
    virtual void publishServerUpdates(std::uint64_t from, const ServerUpdates &updates) = 0;

    /** As mustRead(), for the evacuations, which are read less often. */
    virtual bool mustReadEvacuations(TimePoint lastConfirmed) const = 0;

    /** Passes on to the other instances that the configuration was read or confirmed. The router of this instance has applied it already.
     */
    virtual void publishConfiguration() = 0;

    /**
     * Passes on to the other instances that the evacuations were read or confirmed. The router of this instance has applied them already.
     * @param changed whether the evacuated domains have changed
     */
    virtual void publishEvacuations(bool changed) = 0;

    /** Sets whether the last calls to the store succeeded, for all kinds of objects. */
    virtual void setStoreReachable(bool reachable) = 0;
};

/** Keeps the servers, the configuration and the evacuations of a router up to date from the store, with one task for each of them. */
class DiscoveryWatcher : public MetricSource
{
public:
    /** The objects that the watcher uses; all of them must outlive it. */
    struct Dependencies {
        const Clock &clock;
        Timer &timer;
        RandomSource &random;
        EventSink &events;
        Discovery &discovery;
        StreamRouter &router;
        StoreReadCoordinator &coordinator;
    };

    /** How long a long poll may wait for a change. The wait is bounded, because a connection may fail without a reset. */
    struct LongPollWaits {
        std::chrono::milliseconds servers { 1000 };
        std::chrono::milliseconds configuration { 1000 };
        std::chrono::milliseconds evacuations { 4000 };
    };

    DiscoveryWatcher(Dependencies dependencies, LongPollWaits longPollWaits);

    /** Lists the servers and applies their changes to the router; runs until it is cancelled. */
    asio::awaitable<Result<void>> watchServers();

    /** Reads the configuration and applies newer ones to the router; runs until it is cancelled. */
    asio::awaitable<Result<void>> watchConfiguration();

    /** Lists the evacuations and applies their changes to the router; runs until it is cancelled. Used only if they are enabled. */
    asio::awaitable<Result<void>> watchEvacuations();

    void writeMetrics(MetricWriter &writer) const override;

private:
    /** The state of one task. */
    struct Feed {
        std::string_view name; /**< label of the task in metrics and events */
        bool historyGone = false; /**< whether the store dropped the changes since the last read, so that a complete read is needed */
        StorePosition askedFrom; /**< from which the last long poll asked for changes */
        bool reachable = true; /**< whether the last call succeeded */
        std::uint64_t failures = 0; /**< consecutive failed calls */
        std::uint64_t calls = 0;
        std::uint64_t failedCalls = 0;
        TimePoint unreachableSince {};
    };

    asio::awaitable<void> listServers();
    asio::awaitable<void> awaitServerUpdates(std::chrono::milliseconds wait);
    asio::awaitable<void> readConfiguration();
    asio::awaitable<void> awaitConfigurationUpdate(std::chrono::milliseconds wait);
    asio::awaitable<void> listEvacuations();
    asio::awaitable<void> awaitEvacuationUpdates(std::chrono::milliseconds wait);
    TimePoint confirmationTime(TimePoint callStart, std::chrono::milliseconds wait, bool changed) const;
    void apply(ServerUpdates updates, std::uint64_t from, TimePoint confirmedAt);
    void apply(ConfigurationRead read, TimePoint confirmedAt);
    bool storeIsReachable() const;
    bool checkEra(Feed &feed, StorePosition known, StorePosition response);
    bool checkContinuation(Feed &feed, StorePosition known, StorePosition response);
    void recordSuccess(Feed &feed);
    void recordFailure(Feed &feed, const Error &error);
    asio::awaitable<void> backOff(Feed &feed);
    void recordFault(std::string_view name, const DiscoveryFault &fault);
    void recordOddEvacuations(const std::vector<DiscoveryFault> &odd);
    void recordIgnored(const StreamConfiguration &configuration, const std::vector<DiscoveryFault> &ignored);

    const Clock &m_clock;
    Timer &m_timer;
    RandomSource &m_random;
    EventSink &m_events;
    Discovery &m_discovery;
    StreamRouter &m_router;
    StoreReadCoordinator &m_coordinator;
    const LongPollWaits m_longPollWaits;
    Feed m_servers { .name = "servers" };
    Feed m_configuration { .name = "configuration" };
    Feed m_evacuations { .name = "evacuations" };
    std::set<std::string> m_oddEvacuations; // subjects and reasons of the odd entries that were counted and logged
    std::uint64_t m_faultCount = 0;
    std::uint64_t m_ignoredCount = 0; // unknown or invalid parts of all versions of the configuration
    StorePosition m_reportedConfiguration; // of the last version whose ignored parts were counted and logged
};

} // namespace Samphirepitch
