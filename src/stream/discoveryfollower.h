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
class ReadingDuty
{
public:
    virtual ~ReadingDuty() = default;

    /** Returns whether this instance keeps calls waiting at the store. */
    virtual bool followsStore() const = 0;

    /** Returns whether to read once although others read, given when the view was complete last. */
    virtual bool mustRead(TimePoint confirmed) const = 0;

    /** Returns how many instances look for the store when it is away; each then asks less often. */
    virtual std::size_t readers() const = 0;

    /** Changes of servers after revision @p from were taken. */
    virtual void serversRead(std::uint64_t from, const ServerUpdates &updates) = 0;

    /** The configuration was read or confirmed. */
    virtual void configurationRead() = 0;

    /** A call to the store succeeded or failed. */
    virtual void storeReachable(bool reachable) = 0;
};

/** Keeps the servers and the configuration of a router up to date; one task for each of the two. */
class DiscoveryFollower : public MetricSource
{
public:
    /** What the follower needs; everything outlives it. */
    struct Parts {
        const Clock &clock;
        Timer &timer;
        RandomSource &random;
        EventSink &events;
        Discovery &discovery;
        StreamRouter &router;
        ReadingDuty &duty;
    };

    /** How long a call may wait at the store; bounded, because a connection may go silent without a reset. */
    struct Waits {
        std::chrono::milliseconds servers { 1000 };
        std::chrono::milliseconds configuration { 1000 };
    };

    DiscoveryFollower(Parts parts, Waits waits);

    /** Lists the servers and follows their changes until it is cancelled. */
    asio::awaitable<Result<void>> followServers();

    /** Reads the configuration and follows its changes until it is cancelled. */
    asio::awaitable<Result<void>> followConfiguration();

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
        TimePoint lostAt {};
    };

    asio::awaitable<void> listServers();
    asio::awaitable<void> awaitServers(std::chrono::milliseconds wait);
    asio::awaitable<void> readConfiguration();
    asio::awaitable<void> awaitConfiguration(std::chrono::milliseconds wait);
    void take(ServerUpdates updates, std::uint64_t from, TimePoint asked);
    void take(ConfigurationRead read, TimePoint asked);
    bool storeIsReachable() const;
    void succeeded(Feed &feed);
    void failed(Feed &feed, const Error &error);
    asio::awaitable<void> pause(Feed &feed);
    void recordFault(std::string_view name, const DiscoveryFault &fault);

    const Clock &m_clock;
    Timer &m_timer;
    RandomSource &m_random;
    EventSink &m_events;
    Discovery &m_discovery;
    StreamRouter &m_router;
    ReadingDuty &m_duty;
    const Waits m_waits;
    Feed m_servers { .name = "servers" };
    Feed m_configuration { .name = "configuration" };
    std::uint64_t m_faults = 0;
};

} // namespace Samphirepitch
