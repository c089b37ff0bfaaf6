#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "stream/leastflowsselector.h"
#include "stream/streamrouter.h"

#include <string>
#include <vector>

namespace Samphirepitch::Tests
{

/** Records events by name, with their fields as text. */
class EventCollector : public EventSink
{
public:
    void record(EventSeverity severity, std::string_view name, std::vector<EventField> fields) override;

    /** Returns the number of events with a name. */
    std::size_t count(std::string_view name) const;

    /** Returns the fields of the last event with a name as "key=value key=value", or an empty string. */
    std::string last(std::string_view name) const;

private:
    struct Recorded {
        std::string name;
        std::string text;
    };

    std::vector<Recorded> m_recorded;
};

/** Records the times that a router reports. */
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

/** A router in the failure domain "a" with a route to the service "pond", and functions that send it packets. */
class RouterFixture
{
public:
    static constexpr Endpoint client { 0x64400007, 40001 };
    static constexpr Endpoint service { 0xc6120001, 443 };
    static constexpr Endpoint unsafeService { 0xc6120002, 443 };
    static constexpr Endpoint unroutedService { 0xc6120009, 443 };

    RouterFixture();

    /** Returns a server of "pond" with the id "i-" and the number in hexadecimal digits. */
    static StreamServer server(std::uint64_t number, std::string failureDomain = "a");

    /** Returns a configuration with a route from the address @c service to "pond". */
    static StreamConfiguration configuration(std::uint64_t revision);

    /** Returns a configuration with a second route, from the address @c unsafeService to @p target. */
    static StreamConfiguration configurationWith(std::uint64_t revision, const std::string &target);

    /** Sets the configuration and the servers of the router. */
    void makeReady(const std::vector<StreamServer> &servers);

    /** Sends the opening packet of a flow, or its retransmission number @p copy. @p sequence differs between flows from the same port. */
    StreamDecision open(Endpoint from = client, std::uint32_t copy = 0, std::uint32_t sequence = 100);

    /** Sends the last packet of a client, which closes its side of the flow. */
    StreamDecision finish(std::uint32_t token, std::uint32_t sequence, std::uint32_t acknowledgement, Endpoint from = client);

    /** Sends @p length bytes of data with the sequence number @p sequence. */
    StreamDecision send(
        std::uint32_t token, std::uint32_t sequence, std::uint16_t length, std::uint32_t acknowledgement, Endpoint from = client);

    /** Advances the clock by 1 ms, then records the result of a probe that starts and ends at that time. */
    void finishProbe(std::uint32_t token, ConnectResult result);

    /** Advances the clock by 1 ms, then records that a probe of one server timed out while a probe of another one was answered. */
    void timeOutProbe(std::uint32_t token, std::uint32_t answeringToken);

    void advanceClock(std::chrono::milliseconds time);

    std::uint32_t requestCount = 0; // for tests that send several requests
    ManualClock clock;
    SeededRandom random { 20261204 };
    EventCollector events;
    TimeCollector times;
    LeastFlowsSelector selector;
    StreamRouter router;
};

} // namespace Samphirepitch::Tests
