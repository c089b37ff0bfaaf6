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
constexpr std::size_t packetsPerRoundTrip = 2; // there and back
constexpr std::chrono::milliseconds lossTimeout { 200 }; // packets without an answer for this time are lost
constexpr Endpoint serviceAddress(0x7f000a01, 7000);
constexpr std::chrono::hours idleTimeout { 1 };

class NoEvents : public EventSink
{
public:
    void record(EventSeverity, std::string_view, std::vector<EventField>) override
    {
    }
};

/** Answers each datagram with the same payload, as a backend server does. */
void runServer(const UdpSocket &socket, const std::atomic<bool> &stopped)
{
    DatagramBatch batch;
    while (!stopped) {
        const std::size_t count = batch.receive(socket.handle());
        for (std::size_t index = 0; index < count; ++index) {
            std::span<const std::uint8_t> payload;
            if (const auto header = ProxyHeader::decode(batch.datagram(index), payload)) {
                const ProxyHeader answer({ .source = header->destination(), .destination = header->source() });
                batch.add(socket.handle(), batch.sender(index), answer, payload, false);
            }
        }
        batch.flush(socket.handle());
        if (count == 0) {
            socket.wait();
        }
    }
}

/** Sends packets of many flows with a bounded number under way and times the answers. */
class Generator
{
public:
    Generator(const UdpSocket &socket, const RelayBenchSettings &settings, const Clock &clock)
        : m_socket(socket)
        , m_settings(settings)
        , m_clock(clock)
        , m_random(settings.seed)
        , m_payload(std::max(settings.payload, sizeof(std::int64_t)), 0x55)
    {
    }

    /** Sends one packet of each flow in turn, until all are answered. */
    void fill(Endpoint receiver)
    {
        std::uint32_t next = 0;
        exchange(receiver, [this, &next] { return next < m_settings.flows ? next++ : noFlow; });
    }

    /** Sends packets of random flows for the length of a phase. */
    RelayFigures measure(Endpoint receiver)
    {
        m_latencies.clear();
        const TimePoint start = m_clock.now();
        exchange(receiver, [this, start] {
            return m_clock.now() < start + m_settings.phase ? static_cast<std::uint32_t>(m_random.below(m_settings.flows)) : noFlow;
        });
        const std::chrono::duration<double> took = m_clock.now() - start;
        return { static_cast<double>(m_latencies.size() * packetsPerRoundTrip) / took.count(), percentile(0.5), percentile(0.99) };
    }

    std::uint64_t lost() const
    {
        return m_lost;
    }

private:
    static constexpr std::uint32_t noFlow = ~0U;

    void exchange(Endpoint receiver, const std::function<std::uint32_t()> &nextFlow)
    {
        std::size_t underWay = 0;
        bool isDone = false;
        TimePoint lastAnswer = m_clock.now();
        while (!isDone || underWay > 0) {
            for (std::size_t count = 0; !isDone && underWay < m_settings.window && count < DatagramBatch::maxDatagrams; ++count) {
                const std::uint32_t flow = nextFlow();
                isDone = flow == noFlow;
                if (!isDone) {
                    send(receiver, flow);
                    ++underWay;
                }
            }
            m_batch.flush(m_socket.handle());
            const std::size_t answers = receive();
            const TimePoint now = m_clock.now();
            underWay -= std::min(answers, underWay);
            lastAnswer = answers > 0 ? now : lastAnswer;
            if (answers == 0 && now - lastAnswer > lossTimeout) {
                m_lost += underWay;
                underWay = 0;
                lastAnswer = now;
            } else if (answers == 0) {
                m_socket.wait();
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

    double percentile(double share)
    {
        if (m_latencies.empty()) {
            return 0;
        }
        const auto place = m_latencies.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(m_latencies.size() - 1));
        std::nth_element(m_latencies.begin(), place, m_latencies.end());
        return static_cast<double>(*place) / 1000.0;
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

ConfigGeneration generationFor(Endpoint server)
{
    ConfigSet::Fields fields;
    fields.pools.emplace_back(BackendPool::Fields {
        .name = "pool", .servers = { BackendServer({ .name = "server", .failureDomain = "a", .address = server }) } });
    fields.policies.emplace_back(Policy::Fields { .name = "policy", .flowIdleTimeout = idleTimeout });
    fields.services.emplace_back(
        Service::Fields { .name = "bench", .address = serviceAddress, .protocol = Protocol::Opaque, .pool = "pool", .policy = "policy" });
    return { { 1, {} }, std::make_shared<const ConfigSet>(std::move(fields)) };
}

RelayFigures medians(std::vector<RelayFigures> rounds)
{
    const auto median = [&rounds](double RelayFigures::*field) {
        std::sort(rounds.begin(), rounds.end(),
            [field](const RelayFigures &left, const RelayFigures &right) { return left.*field < right.*field; });
        return rounds.empty() ? 0.0 : rounds[rounds.size() / 2].*field;
    };
    return { median(&RelayFigures::packetsPerSecond), median(&RelayFigures::p50Microseconds), median(&RelayFigures::p99Microseconds) };
}

/** Alternates between the two, so that other load on the machine hits both. */
RelayBenchResult measureBoth(Generator &generator, Endpoint ours, Endpoint baseline, std::size_t rounds)
{
    generator.fill(ours);
    std::vector<RelayFigures> oursRounds;
    std::vector<RelayFigures> baselineRounds;
    for (std::size_t round = 0; round < rounds; ++round) {
        baselineRounds.push_back(generator.measure(baseline));
        oursRounds.push_back(generator.measure(ours));
    }
    RelayBenchResult result { .ours = medians(oursRounds), .baseline = medians(baselineRounds), .lost = generator.lost() };
    result.ratio = result.ours.packetsPerSecond / std::max(result.baseline.packetsPerSecond, 1.0);
    return result;
}

} // namespace

std::string RelayBenchResult::line() const
{
    char text[400];
    std::snprintf(text, sizeof(text),
        "bench: name=relay ours=%.0f baseline=%.0f ratio=%.2f ours_p50_us=%.0f ours_p99_us=%.0f baseline_p50_us=%.0f "
        "baseline_p99_us=%.0f flows=%zu bytes_per_flow=%.1f lost=%llu",
        ours.packetsPerSecond, baseline.packetsPerSecond, ratio, ours.p50Microseconds, ours.p99Microseconds, baseline.p50Microseconds,
        baseline.p99Microseconds, heldFlows, bytesPerFlow, static_cast<unsigned long long>(lost));
    return text;
}

Result<RelayBenchResult> RelayBench::run(const RelayBenchSettings &settings, const Clock &clock)
{
    const Endpoint anyPort(loopback, 0);
    auto callers = UdpSocket::bind(anyPort);
    auto server = UdpSocket::bind(anyPort);
    auto front = UdpSocket::bind(anyPort);
    if (!callers || !server || !front) {
        return failure(ErrorKind::InputOutput, "127.0.0.1", "can't bind a UDP socket");
    }
    auto relay = PlainRelay::create({ anyPort, anyPort, server->address(), callers->address() });
    if (!relay) {
        return tl::unexpected(relay.error());
    }
    // DataPath wants a fixed port, so a free one is looked up first.
    const Endpoint dataAddress = front->address();
    front = UdpSocket::bind(anyPort);
    asio::io_context context(1);
    SeededRandom random(settings.seed);
    NoEvents events;
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
    (*data)->configurationChanged(generationFor(server->address()));
    asio::co_spawn(context, (*data)->run(), asio::detached);

    std::atomic<bool> stopped = false;
    std::thread serverThread([&] { runServer(*server, stopped); });
    std::thread relayThread([&] { relay->run(stopped); });
    std::thread dataThread([&context] { context.run(); });
    Generator generator(*callers, settings, clock);
    RelayBenchResult result = measureBoth(generator, dataAddress, relay->front(), settings.rounds);
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
