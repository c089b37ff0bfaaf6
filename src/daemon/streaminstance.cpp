#include "daemon/streaminstance.h"

#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>

namespace Samphirepitch
{

namespace
{

// The fabric checks the health twice a second.
constexpr std::chrono::milliseconds readinessInterval { 100 };

} // namespace

StreamLatencyRecorder::StreamLatencyRecorder(Metrics &metrics)
    : m_openingTime(
        metrics.addHistogram("samphirepitch_flow_opening_seconds", "Time from the first packet of a flow to the client's next packet."))
    , m_responseTime(
          metrics.addHistogram("samphirepitch_server_answer_seconds", "Time from a request to the acknowledgement of its first response."))
    , m_serversAge(
          metrics.addHistogram("samphirepitch_placement_servers_age_seconds", "Age of the list of servers when a flow was placed."))
    , m_configurationAge(
          metrics.addHistogram("samphirepitch_placement_configuration_age_seconds", "Age of the configuration when a flow was placed."))
{
}

void StreamLatencyRecorder::recordOpeningTime(std::chrono::nanoseconds time)
{
    m_openingTime.record(time);
}

void StreamLatencyRecorder::recordResponseTime(std::chrono::nanoseconds time)
{
    m_responseTime.record(time);
}

void StreamLatencyRecorder::recordViewAges(std::chrono::nanoseconds servers, std::chrono::nanoseconds configuration)
{
    m_serversAge.record(servers);
    m_configurationAge.record(configuration);
}

Result<std::unique_ptr<StreamInstance>> StreamInstance::create(
    asio::any_io_executor executor, const Clock &clock, const Settings &settings, StreamAdapters adapters)
{
    auto logger = Logger::open(settings.values().logLevel, settings.values().logFile);
    if (!logger) {
        return tl::unexpected(logger.error());
    }
    std::unique_ptr<StreamInstance> instance(
        new StreamInstance(std::move(executor), clock, settings, *std::move(logger), std::move(adapters)));
    if (auto created = instance->createComponents(); !created) {
        return tl::unexpected(created.error());
    }
    instance->addChildren();
    return instance;
}

StreamInstance::StreamInstance(
    asio::any_io_executor executor, const Clock &clock, const Settings &settings, std::unique_ptr<Logger> logger, StreamAdapters adapters)
    : InstanceBase(std::move(executor), clock, settings, std::move(logger))
    , m_adapters(std::move(adapters))
    , m_latency(m_metrics)
    , m_router({ m_clock, m_random, m_events, m_selector, m_latency }, settings.values().failureDomain, settings.values().maxFlows)
    , m_probe(m_executor, m_clock)
{
}

StreamInstance::~StreamInstance() = default;

Endpoint StreamInstance::dataAddress() const
{
    return m_forwarder->address();
}

Result<void> StreamInstance::createComponents()
{
    auto forwarder
        = StreamForwarder::create(m_executor, { m_clock, m_router, *m_adapters.codec, m_probe }, m_settings.values().dataAddress);
    if (!forwarder) {
        return tl::unexpected(forwarder.error());
    }
    m_forwarder = *std::move(forwarder);
    const Settings::Fields &values = m_settings.values();
    PeerRecord self { .id = values.instanceId,
        .failureDomain = values.failureDomain,
        .address = values.peerAnnouncedAddress.isUnset() ? values.peerAddress : values.peerAnnouncedAddress,
        .startedAt = static_cast<std::uint64_t>(m_clock.wallNow().time_since_epoch().count()) };
    if (values.exchangesLoadReports) {
        m_loads = std::make_unique<LoadExchange>(LoadExchange::Dependencies { m_clock, m_router.admission() });
        m_router.useLoadView(m_loads->reports());
        m_router.useLoadReporter(m_loads->reporter(), m_loads->reports());
        m_metrics.add(*m_loads);
    }
    auto peers = PeerSynchronizer::create(m_executor, { m_clock, m_random, m_events, m_router, m_loads.get() },
        { values.deployment, values.peerAddress, values.peerSeeds }, std::move(self));
    if (!peers) {
        return tl::unexpected(peers.error());
    }
    m_peerSynchronizer = *std::move(peers);
    if (values.evacuationsEnabled) {
        m_router.evacuations().enable();
    }
    m_router.useRoster(m_peerSynchronizer->roster());
    m_watcher = std::make_unique<DiscoveryWatcher>(
        DiscoveryWatcher::Dependencies { m_clock, m_timer, m_random, m_events, *m_adapters.discovery, m_router, *m_peerSynchronizer },
        DiscoveryWatcher::LongPollWaits { values.serversLongPollWait, values.configurationLongPollWait, values.evacuationsLongPollWait });
    m_metrics.add(m_router);
    m_metrics.add(*m_peerSynchronizer);
    m_metrics.add(*m_watcher);
    m_metrics.add(*m_forwarder);
    return listenForMetrics();
}

void StreamInstance::addChildren()
{
    addCommonTasks();
    m_supervisor.add({ .name = "peer_news", .start = [this] { return m_peerSynchronizer->receiveMessages(); } });
    m_supervisor.add({ .name = "peer_states", .start = [this] { return m_peerSynchronizer->serveStates(); } });
    m_supervisor.add({ .name = "gossip", .start = [this] { return m_peerSynchronizer->runGossip(); } });
    m_supervisor.add({ .name = "servers", .start = [this] { return m_watcher->watchServers(); } });
    m_supervisor.add({ .name = "configuration", .start = [this] { return m_watcher->watchConfiguration(); } });
    if (m_settings.values().evacuationsEnabled) {
        m_supervisor.add({ .name = "evacuations", .start = [this] { return m_watcher->watchEvacuations(); } });
    }
    m_supervisor.add({ .name = "packets", .start = [this] { return m_forwarder->forwardPackets(); } });
    m_supervisor.add({ .name = "checks", .start = [this] { return m_forwarder->runChecks(); } });
    m_supervisor.add({ .name = "readiness", .start = [this] { return reportReadiness(); }, .restart = Restart::OnFailure });
}

std::vector<EventField> StreamInstance::startFields() const
{
    return { { "data", dataAddress().toString() }, { "store", m_settings.values().platformAddress.toString() } };
}

bool StreamInstance::hasConfiguration() const
{
    return m_router.isReady();
}

void StreamInstance::beginLeaving()
{
    // Packets are forwarded until the end, since the fabric takes about a second to notice and sends packets of clients until then.
}

std::size_t StreamInstance::pendingWork() const
{
    return 0; // flows continue through other instances
}

asio::awaitable<Result<void>> StreamInstance::reportReadiness()
{
    asio::steady_timer timer(m_executor);
    while (!m_router.isReady()) {
        timer.expires_after(readinessInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    m_events.record(EventSeverity::Info, "instance_ready",
        { { "configuration", std::to_string(m_router.configuration().version) },
            { "servers", std::to_string(m_router.directory().all().size()) } });
    co_return Result<void>();
}

} // namespace Samphirepitch
