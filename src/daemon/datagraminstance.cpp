#include "daemon/datagraminstance.h"

#include "daemon/datapathbridge.h"
#include "data/datapath.h"
#include "health/healthprober.h"
#include "health/httpserverprobe.h"
#include "objectstore/httpplatform.h"
#include "peer/controlplane.h"

#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

namespace Samphirepitch
{

namespace
{

using std::chrono::milliseconds;

// Well below the link deadline, so that the data path learns in time that the member view has expired.
constexpr milliseconds bridgeRefreshInterval { 50 };

} // namespace

Result<std::unique_ptr<DatagramInstance>> DatagramInstance::create(
    asio::any_io_executor executor, const Clock &clock, const Settings &settings)
{
    auto logger = Logger::open(settings.values().logLevel, settings.values().logFile);
    if (!logger) {
        return tl::unexpected(logger.error());
    }
    std::unique_ptr<DatagramInstance> instance(new DatagramInstance(std::move(executor), clock, settings, *std::move(logger)));
    if (auto created = instance->createComponents(); !created) {
        return tl::unexpected(created.error());
    }
    instance->addChildren();
    return instance;
}

DatagramInstance::DatagramInstance(
    asio::any_io_executor executor, const Clock &clock, const Settings &settings, std::unique_ptr<Logger> logger)
    : InstanceBase(std::move(executor), clock, settings, std::move(logger))
    , m_responseTimes(
          m_metrics.addHistogram("samphirepitch_server_answer_seconds", "Time from sending a request to receiving its response."))
{
}

DatagramInstance::~DatagramInstance() = default;

std::vector<EventField> DatagramInstance::startFields() const
{
    return { { "peer", m_controlPlane->peerAddress().toString() }, { "data", m_settings.values().dataAddress.toString() } };
}

bool DatagramInstance::hasConfiguration() const
{
    return m_dataPath->heldGeneration() > 0;
}

void DatagramInstance::beginLeaving()
{
    m_controlPlane->beginLeaving();
    m_dataPath->beginDrain();
}

bool DatagramInstance::drainRequested()
{
    return requestStop("drain_request");
}

Result<void> DatagramInstance::createComponents()
{
    const Settings::Fields &values = m_settings.values();
    auto platform = HttpPlatform::create(m_executor, m_clock, values.platformAddress);
    if (!platform) {
        return tl::unexpected(platform.error());
    }
    m_platform = *std::move(platform);
    for (const auto create :
        { &DatagramInstance::createDataPath, &DatagramInstance::createHealthProber, &DatagramInstance::createControlPlane }) {
        if (auto created = (this->*create)(); !created) {
            return created;
        }
    }
    m_metrics.add(*m_controlPlane);
    m_metrics.add(*m_dataPath);
    m_metrics.add(*m_healthProber);
    return listenForMetrics();
}

Result<void> DatagramInstance::createDataPath()
{
    const Settings::Fields &values = m_settings.values();
    DataPathSettings settings;
    settings.instance = values.instanceId;
    settings.failureDomain = values.failureDomain;
    settings.dataAddress = values.dataAddress;
    settings.backAddress = values.dataBackAddress;
    settings.fabricReturn = values.fabricReturnAddress;
    settings.maxFlows = values.maxFlows;
    settings.isNewId = values.isNewId;
    auto dataPath = DataPath::create(m_executor, m_clock, m_random, m_events, std::move(settings));
    if (!dataPath) {
        return tl::unexpected(dataPath.error());
    }
    m_dataPath = *std::move(dataPath);
    m_bridge = std::make_unique<DataPathBridge>(*m_dataPath);
    m_dataPath->setFlowExceptionTransport(m_bridge.get());
    m_dataPath->setResponseObserver(&m_responseTimes);
    return {};
}

Result<void> DatagramInstance::createHealthProber()
{
    const Settings::Fields &values = m_settings.values();
    HealthProber::Dependencies dependencies { m_clock, m_random, m_hybrid, m_events, *m_bridge,
        std::make_unique<HttpServerProbe>(m_executor, m_clock) };
    auto prober = HealthProber::create(m_executor, values.instanceId, values.failureDomain, std::move(dependencies));
    if (!prober) {
        return tl::unexpected(prober.error());
    }
    m_healthProber = *std::move(prober);
    return {};
}

Result<void> DatagramInstance::createControlPlane()
{
    const Settings::Fields &values = m_settings.values();
    ControlPlaneSettings settings;
    settings.deployment = values.deployment;
    settings.instanceId = values.instanceId;
    settings.incarnation = static_cast<std::uint64_t>(m_clock.wallNow().time_since_epoch().count());
    settings.failureDomain = values.failureDomain;
    settings.peerAddress = values.peerAddress;
    settings.dataAddress = values.dataAddress;
    settings.seeds = values.peerSeeds;
    // The bridge passes server states to the data path, so the data path must come first and get each configuration before it.
    ControlPlaneDependencies parts { m_clock, m_random, m_hybrid, m_events, *m_platform, *m_bridge, m_events, *this,
        { m_dataPath.get(), m_bridge.get(), m_healthProber.get() }, { m_dataPath.get(), m_healthProber.get() },
        { m_bridge.get(), m_healthProber.get() } };
    auto controlPlane = ControlPlane::create(m_executor, std::move(settings), std::move(parts));
    if (!controlPlane) {
        return tl::unexpected(controlPlane.error());
    }
    m_controlPlane = *std::move(controlPlane);
    m_bridge->setControlPlane(*m_controlPlane);
    return {};
}

void DatagramInstance::addChildren()
{
    addCommonTasks();
    // Control plane and data path hold sockets and state that a restarted task could not rebuild, so their failure ends the process.
    m_supervisor.add({ .name = "control_plane",
        .start = [this] { return runControlPlane(); },
        .stop = [this](TimePoint) { m_controlPlane->stop(); },
        .restart = Restart::Never });
    m_supervisor.add({ .name = "bridge", .start = [this] { return runBridge(); } });
    m_supervisor.add({ .name = "health_prober",
        .start = [this] { return m_healthProber->run(); },
        .stop = [this](TimePoint) { m_healthProber->stop(); } });
    m_supervisor.add({ .name = "data_path",
        .start = [this] { return runDataPath(); },
        .stop = [this](TimePoint) { m_dataPath->stop(); },
        .restart = Restart::Never });
}

std::size_t DatagramInstance::pendingWork() const
{
    return m_dataPath->pendingRequests();
}

asio::awaitable<Result<void>> DatagramInstance::runControlPlane()
{
    co_await m_controlPlane->run();
    if (!isLeaving()) {
        co_return failure(ErrorKind::Stopped, "control_plane", "the control plane ended unexpectedly; it must run until the stop");
    }
    co_return Result<void>();
}

asio::awaitable<Result<void>> DatagramInstance::runDataPath()
{
    co_await m_dataPath->run();
    if (!isLeaving()) {
        co_return failure(ErrorKind::Stopped, "data_path", "the data path ended unexpectedly; it must run until the stop");
    }
    co_return Result<void>();
}

asio::awaitable<Result<void>> DatagramInstance::runBridge()
{
    asio::steady_timer timer(m_executor);
    while (true) {
        m_bridge->refresh();
        timer.expires_after(bridgeRefreshInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace Samphirepitch
