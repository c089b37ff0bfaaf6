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
    };

    /** How long a call may wait at the store; bounded, because a connection may go silent without a reset. */
    struct Waits {
        std::chrono::milliseconds servers { 4000 };
        std::chrono::milliseconds configuration { 2000 };
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
        std::uint64_t revision = 0; /**< to continue from; 0 if everything has to be read */
        bool reachable = true;
        std::uint64_t failures = 0; /**< in a row */
        std::uint64_t calls = 0;
        std::uint64_t failedCalls = 0;
        TimePoint lostAt {};
    };

    asio::awaitable<void> listServers();
    asio::awaitable<void> awaitServers();
    asio::awaitable<void> readConfiguration();
    asio::awaitable<void> awaitConfiguration();
    void take(ServerUpdates updates);
    void take(ConfigurationRead read);
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
    const Waits m_waits;
    Feed m_servers { .name = "servers" };
    Feed m_configuration { .name = "configuration" };
    std::uint64_t m_faults = 0;
};

} // namespace Samphirepitch
