#include "load/relaybench.h"

#include "core/random.h"
#include "data/datagrambatch.h"
#include "data/datapath.h"
#include "data/packetengine.h"
#include "load/plainrelay.h"
#include "membership/memberview.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <functional>
#include <thread>

namespace Samphirepitch
{

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::uint32_t firstCaller = 0x7f010000;
constexpr std::uint32_t callersPerAddress = 50000;
constexpr std::size_t packetsPerRoundTrip = 2; // one in each direction
constexpr std::chrono::milliseconds lossTimeout { 200 }; // without any response for this time, all packets in flight count as lost
constexpr Endpoint serviceAddress(0x7f000a01, 7000);
constexpr std::chrono::hours idleTimeout { 1 };

class NullEventSink : public EventSink
{
public:
    void record(EventSeverity, std::string_view, std::vector<EventField>) override
    {
    }
};

/** Sends the payload of each datagram back, as a backend server does, until @p stopped is set. */
void runEchoServer(const UdpSocket &socket, const std::atomic<bool> &stopped)
{
    DatagramBatch batch;
    while (!stopped) {
        const std::size_t count = batch.receive(socket.handle());
        for (std::size_t index = 0; index < count; ++index) {
            std::span<const std::uint8_t> payload;
            if (const auto header = ProxyHeader::decode(batch.datagram(index), payload)) {
                const ProxyHeader response({ .source = header->destination(), .destination = header->source() });
                batch.add(socket.handle(), batch.sender(index), response, payload, false);
            }
        }
        batch.flush(socket.handle());
        if (count == 0) {
            socket.waitReadable();
        }
    }
}

/** Sends packets of many flows, with a bounded number in flight, and measures the round-trip times. */
class PacketGenerator
{
public:
    PacketGenerator(const UdpSocket &socket, const RelayBenchSettings &settings, const Clock &clock)
        : m_socket(socket)
        , m_settings(settings)
        , m_clock(clock)
        , m_random(settings.seed)
        , m_payload(std::max(settings.payload, sizeof(std::int64_t)), 0x55)
    {
    }

    /** Sends one packet of each flow, and waits until all have a response or are lost. */
    void openFlows(Endpoint receiver)
    {
        std::uint32_t next = 0;
        exchange(receiver, [this, &next] { return next < m_settings.flows ? next++ : endOfFlows; });
    }

    /** Sends packets of random flows for the length of a phase, and returns the measurement. */
    RelayMeasurement measure(Endpoint receiver)
    {
        m_latencies.clear();
        const TimePoint start = m_clock.now();
        exchange(receiver, [this, start] {
            return m_clock.now() < start + m_settings.phase ? static_cast<std::uint32_t>(m_random.below(m_settings.flows)) : endOfFlows;
        });
        const std::chrono::duration<double> elapsed = m_clock.now() - start;
        return { static_cast<double>(m_latencies.size() * packetsPerRoundTrip) / elapsed.count(), latencyPercentile(0.5),
            latencyPercentile(0.99) };
    }

    std::uint64_t lost() const
    {
        return m_lost;
    }

private:
    static constexpr std::uint32_t endOfFlows = ~0U;

    void exchange(Endpoint receiver, const std::function<std::uint32_t()> &nextFlow)
    {
        std::size_t inFlight = 0;
        bool isFinished = false;
        TimePoint lastResponse = m_clock.now();
        while (!isFinished || inFlight > 0) {
            for (std::size_t count = 0; !isFinished && inFlight < m_settings.window && count < DatagramBatch::maxDatagrams; ++count) {
                const std::uint32_t flow = nextFlow();
                isFinished = flow == endOfFlows;
                if (!isFinished) {
                    send(receiver, flow);
                    ++inFlight;
                }
            }
            m_batch.flush(m_socket.handle());
            const std::size_t responses = receive();
            const TimePoint now = m_clock.now();
            inFlight -= std::min(responses, inFlight);
            lastResponse = responses > 0 ? now : lastResponse;
            if (responses == 0 && now - lastResponse > lossTimeout) {
                m_lost += inFlight;
                inFlight = 0;
                lastResponse = now;
            } else if (responses == 0) {
                m_socket.waitReadable();
            }
        }
    }

    void send(Endpoint receiver, std::uint32_t flow)
    {
        const std::int64_t sentAt = m_clock.now().time_since_epoch().count();
        std::memcpy(m_payload.data(), &sentAt, sizeof(sentAt));
        const Endpoint caller(firstCaller + flow / callersPerAddress, static_cast<std::uint16_t>(1000 + flow % callersPerAddress));
        m_batch.add(m_socket.handle(), receiver, ProxyHeader({ .source = caller, .destination = serviceAddress }), m_payload, true);
    }

    std::size_t receive()
    {
        const std::size_t count = m_batch.receive(m_socket.handle());
        const std::int64_t now = m_clock.now().time_since_epoch().count();
        for (std::size_t index = 0; index < count; ++index) {
            std::span<const std::uint8_t> payload;
            std::int64_t sentAt = 0;
            if (ProxyHeader::decode(m_batch.datagram(index), payload) && payload.size() >= sizeof(sentAt)) {
                std::memcpy(&sentAt, payload.data(), sizeof(sentAt));
                m_latencies.push_back(now - sentAt);
            }
        }
        return count;
    }

    double latencyPercentile(double fraction)
    {
        if (m_latencies.empty()) {
            return 0;
        }
        const auto position = m_latencies.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(m_latencies.size() - 1));
        std::nth_element(m_latencies.begin(), position, m_latencies.end());
        return static_cast<double>(*position) / 1000.0;
    }

    const UdpSocket &m_socket;
    const RelayBenchSettings &m_settings;
    const Clock &m_clock;
    SeededRandom m_random;
    std::vector<std::uint8_t> m_payload;
    DatagramBatch m_batch;
    std::vector<std::int64_t> m_latencies; /**< nanoseconds */
    std::uint64_t m_lost = 0;
};

ConfigGeneration makeGeneration(Endpoint server)
{
    ConfigSet::Fields fields;
    fields.pools.emplace_back(BackendPool::Fields {
        .name = "pool", .servers = { BackendServer({ .name = "server", .failureDomain = "a", .address = server }) } });
    fields.policies.emplace_back(Policy::Fields { .name = "policy", .flowIdleTimeout = idleTimeout });
    fields.services.emplace_back(
        Service::Fields { .name = "bench", .address = serviceAddress, .protocol = Protocol::Opaque, .pool = "pool", .policy = "policy" });
    return { { 1, {} }, std::make_shared<const ConfigSet>(std::move(fields)) };
}

RelayMeasurement medians(std::vector<RelayMeasurement> rounds)
{
    const auto median = [&rounds](double RelayMeasurement::*field) {
        std::sort(rounds.begin(), rounds.end(),
            [field](const RelayMeasurement &left, const RelayMeasurement &right) { return left.*field < right.*field; });
        return rounds.empty() ? 0.0 : rounds[rounds.size() / 2].*field;
    };
    return { median(&RelayMeasurement::packetsPerSecond), median(&RelayMeasurement::p50Microseconds),
        median(&RelayMeasurement::p99Microseconds) };
}

/** Measures the data path and the baseline in turn, so that other load on the machine affects both. */
RelayBenchResult measureBoth(PacketGenerator &packetGenerator, Endpoint dataPath, Endpoint baseline, std::size_t rounds)
{
    packetGenerator.openFlows(dataPath);
    std::vector<RelayMeasurement> dataPathRounds;
    std::vector<RelayMeasurement> baselineRounds;
    for (std::size_t round = 0; round < rounds; ++round) {
        baselineRounds.push_back(packetGenerator.measure(baseline));
        dataPathRounds.push_back(packetGenerator.measure(dataPath));
    }
    RelayBenchResult result { .dataPath = medians(dataPathRounds), .baseline = medians(baselineRounds), .lost = packetGenerator.lost() };
    result.ratio = result.dataPath.packetsPerSecond / std::max(result.baseline.packetsPerSecond, 1.0);
    return result;
}

} // namespace

std::string RelayBenchResult::summaryLine() const
{
    char text[400];
    std::snprintf(text, sizeof(text),
        "bench: name=relay ours=%.0f baseline=%.0f ratio=%.2f ours_p50_us=%.0f ours_p99_us=%.0f baseline_p50_us=%.0f "
        "baseline_p99_us=%.0f flows=%zu bytes_per_flow=%.1f lost=%llu",
        dataPath.packetsPerSecond, baseline.packetsPerSecond, ratio, dataPath.p50Microseconds, dataPath.p99Microseconds,
        baseline.p50Microseconds, baseline.p99Microseconds, heldFlows, bytesPerFlow, static_cast<unsigned long long>(lost));
    return text;
}

Result<RelayBenchResult> RelayBench::run(const RelayBenchSettings &settings, const Clock &clock)
{
    const Endpoint anyPort(loopback, 0);
    auto callers = UdpSocket::bind(anyPort);
    auto server = UdpSocket::bind(anyPort);
    auto frontend = UdpSocket::bind(anyPort);
    if (!callers || !server || !frontend) {
        return failure(ErrorKind::InputOutput, "127.0.0.1", "cannot bind a UDP socket");
    }
    auto relay = PlainRelay::create({ anyPort, anyPort, server->address(), callers->address() });
    if (!relay) {
        return tl::unexpected(relay.error());
    }
    // DataPath needs a fixed port: a socket finds a free one, and is then bound to another port to release it.
    const Endpoint dataAddress = frontend->address();
    frontend = UdpSocket::bind(anyPort);
    asio::io_context context(1);
    SeededRandom random(settings.seed);
    NullEventSink events;
    auto data = DataPath::create(context.get_executor(), clock, random, events,
        { .instance = "bench",
            .failureDomain = "a",
            .dataAddress = dataAddress,
            .backAddress = anyPort,
            .fabricReturn = callers->address(),
            .maxFlows = settings.flows });
    if (!data) {
        return tl::unexpected(data.error());
    }
    (*data)->configurationChanged(makeGeneration(server->address()));
    asio::co_spawn(context, (*data)->run(), asio::detached);

    std::atomic<bool> stopped = false;
    std::thread serverThread([&] { runEchoServer(*server, stopped); });
    std::thread relayThread([&] { relay->run(stopped); });
    std::thread dataThread([&context] { context.run(); });
    PacketGenerator packetGenerator(*callers, settings, clock);
    RelayBenchResult result = measureBoth(packetGenerator, dataAddress, relay->frontend(), settings.rounds);
    stopped = true;
    asio::post(context, [&data] { (*data)->stop(); });
    dataThread.join();
    relayThread.join();
    serverThread.join();
    const FlowTable &flows = (*data)->engine().router().flows();
    result.heldFlows = flows.size();
    result.bytesPerFlow = static_cast<double>(flows.memory()) / static_cast<double>(std::max<std::size_t>(flows.size(), 1));
    return result;
}

} // namespace Samphirepitch
