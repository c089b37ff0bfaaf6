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
#include <string_view>

namespace Samphirepitch
{

class StreamRouter;

/** Tells a follower when to read, and takes what it read, so that a few instances can read for all. */
class StoreReadCoordinator
{
public:
    virtual ~StoreReadCoordinator() = default;

    /** Returns whether this instance keeps calls waiting at the store. */
    virtual bool watchesStore() const = 0;

    /** Returns whether to read once although others read, given when the view was complete last. */
    virtual bool mustRead(TimePoint lastConfirmed) const = 0;

    /** Returns how many instances look for the store when it is away; each then asks less often. */
    virtual std::size_t retryingInstances() const = 0;

    /** Changes of servers after revision @p from were taken. */
    virtual void publishServerUpdates(std::uint64_t from, const ServerUpdates &updates) = 0;

    /** The configuration was read or confirmed. */
    virtual void publishConfiguration() = 0;

    /** A call to the store succeeded or failed. */
    virtual void setStoreReachable(bool reachable) = 0;
};

/** Keeps the servers and the configuration of a router up to date; one task for each of the two. */
class DiscoveryWatcher : public MetricSource
{
public:
    /** What the follower needs; everything outlives it. */
    struct Dependencies {
        const Clock &clock;
        Timer &timer;
        RandomSource &random;
        EventSink &events;
        Discovery &discovery;
        StreamRouter &router;
        StoreReadCoordinator &coordinator;
    };

    /** How long a call may wait at the store; bounded, because a connection may go silent without a reset. */
    struct LongPollWaits {
        std::chrono::milliseconds servers { 1000 };
        std::chrono::milliseconds configuration { 1000 };
    };

    DiscoveryWatcher(Dependencies dependencies, LongPollWaits longPollWaits);

    /** Lists the servers and follows their changes until it is cancelled. */
    asio::awaitable<Result<void>> watchServers();

    /** Reads the configuration and follows its changes until it is cancelled. */
    asio::awaitable<Result<void>> watchConfiguration();

    void writeMetrics(MetricWriter &writer) const override;

private:
    /** The state of one of the two tasks. */
    struct Feed {
        std::string_view name;
        bool historyGone = false; /**< everything has to be read again */
        bool reachable = true;
        std::uint64_t failures = 0; /**< in a row */
        std::uint64_t calls = 0;
        std::uint64_t failedCalls = 0;
        TimePoint unreachableSince {};
    };

    asio::awaitable<void> listServers();
    asio::awaitable<void> awaitServerUpdates(std::chrono::milliseconds wait);
    asio::awaitable<void> readConfiguration();
    asio::awaitable<void> awaitConfigurationUpdate(std::chrono::milliseconds wait);
    void apply(ServerUpdates updates, std::uint64_t from, TimePoint callStart);
    void apply(ConfigurationRead read, TimePoint callStart);
    bool storeIsReachable() const;
    void recordSuccess(Feed &feed);
    void recordFailure(Feed &feed, const Error &error);
    asio::awaitable<void> backOff(Feed &feed);
    void recordFault(std::string_view name, const DiscoveryFault &fault);

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
    std::uint64_t m_faultCount = 0;
};

} // namespace Samphirepitch
