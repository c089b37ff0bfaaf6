#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "stream/leastflowsselector.h"
#include "stream/streamrouter.h"

#include <string>
#include <vector>

namespace Samphirepitch::Tests
{

/** Keeps the names of events with their fields as text. */
class EventCollector : public EventSink
{
public:
    void record(EventSeverity severity, std::string_view name, std::vector<EventField> fields) override;

    /** Returns the number of events of a name. */
    std::size_t count(std::string_view name) const;

    /** Returns the last event of a name as "key=value key=value", or nothing. */
    std::string last(std::string_view name) const;

private:
    struct Recorded {
        std::string name;
        std::string text;
    };

    std::vector<Recorded> m_recorded;
};

/** Keeps the times that a router reports. */
class TimeCollector : public StreamObserver
{
public:
    void recordOpeningTime(std::chrono::nanoseconds time) override
    {
        openingTimes.push_back(time);
    }

    void recordResponseTime(std::chrono::nanoseconds time) override
    {
        responseTimes.push_back(time);
    }

    void recordViewAges(std::chrono::nanoseconds servers, std::chrono::nanoseconds configuration) override
    {
        viewAges.emplace_back(servers, configuration);
    }

    std::vector<std::pair<std::chrono::nanoseconds, std::chrono::nanoseconds>> viewAges; // of servers and configuration
    std::vector<std::chrono::nanoseconds> openingTimes;
    std::vector<std::chrono::nanoseconds> responseTimes;
};

/** A router in the failure domain "a" with one route to the service "pond", and helpers to send it packets. */
class RouterFixture
{
public:
    static constexpr Endpoint client { 0x64400007, 40001 };
    static constexpr Endpoint service { 0xc6120001, 443 };
    static constexpr Endpoint unsafeService { 0xc6120002, 443 };
    static constexpr Endpoint unroutedService { 0xc6120009, 443 };

    RouterFixture();

    /** Returns a server of "pond" with the id "i-<number>" in hexadecimal digits. */
    static StreamServer server(std::uint64_t number, std::string failureDomain = "a");

    /** Returns a configuration with the route from service to "pond". */
    static StreamConfiguration configuration(std::uint64_t revision);

    /** Gives the router the configuration and the servers. */
    void makeReady(const std::vector<StreamServer> &servers);

    /** Sends the opening packet of a flow, or its copy number @p copy. */
    StreamDecision open(Endpoint from = client, std::uint32_t copy = 0);

    /** Sends @p length bytes of data that begin at @p sequence. */
    StreamDecision send(
        std::uint32_t token, std::uint32_t sequence, std::uint16_t length, std::uint32_t acknowledgement, Endpoint from = client);

    /** Takes the result of a connection to a server, which is begun and ends one millisecond after the last packet. */
    void finishProbe(std::uint32_t token, ConnectResult result);

    /** Moves the clock. */
    void advanceClock(std::chrono::milliseconds time);

    std::uint32_t requestCount = 0; // requests of tests that send several
    ManualClock clock;
    SeededRandom random { 20261204 };
    EventCollector events;
    TimeCollector times;
    LeastFlowsSelector selector;
    StreamRouter router;
};

} // namespace Samphirepitch::Tests
