#include "daemon/instance.h"

#include "core/hash.h"
#include "daemon/datapathbridge.h"
#include "data/datapath.h"
#include "health/healthprober.h"
#include "health/httpserverprobe.h"
#include "peer/controlplane.h"
#include "platform/httpplatform.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

namespace Samphirepitch
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds housekeepingInterval { 1000 };
// Well below the link deadline, so that a lapsed view is seen in time.
constexpr milliseconds bridgeInterval { 50 };
constexpr milliseconds stopCheckInterval { 20 };

// After the work has ended, the tasks only close sockets.
constexpr milliseconds taskStopTime { 500 };

std::uint64_t seedOf(const Settings &settings, const Clock &clock)
{
    const std::uint64_t given = settings.values().randomSeed;
    return given != 0 ? given
                      : mix64(hash64(settings.values().instanceId), static_cast<std::uint64_t>(clock.now().time_since_epoch().count()));
}

} // namespace

Result<std::unique_ptr<Instance>> Instance::create(asio::any_io_executor executor, const Clock &clock, const Settings &settings)
{
    auto logger = Logger::open(settings.values().logLevel, settings.values().logFile);
    if (!logger) {
        return tl::unexpected(logger.error());
    }
    std::unique_ptr<Instance> instance(new Instance(std::move(executor), clock, settings, *std::move(logger)));
    if (auto created = instance->createParts(); !created) {
        return tl::unexpected(created.error());
    }
    instance->addChildren();
    return instance;
}

Instance::Instance(asio::any_io_executor executor, const Clock &clock, const Settings &settings, std::unique_ptr<Logger> logger)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_settings(settings)
    , m_logger(std::move(logger))
    , m_events(settings.values().instanceId, clock, m_hybrid, *m_logger,
          { .capacity = settings.values().eventsCapacity, .rate = settings.values().eventsRate })
    , m_random(seedOf(settings, clock))
    , m_monitor(clock, m_events, m_metrics.addHistogram("samphirepitch_loop_lateness_seconds", "How late the thread runs its tasks."))
    , m_answerLatency(m_metrics.addHistogram("samphirepitch_server_answer_seconds", "From sending a request to its answer."))
    , m_metricsServer(m_metrics, *this)
    , m_supervisor("instance", m_executor, clock, m_events, {})
{
}

Instance::~Instance() = default;

asio::awaitable<DaemonExit> Instance::run()
{
    const Settings::Fields &values = m_settings.values();
    m_events.record(EventSeverity::Info, "instance_started",
        { { "deployment", values.deployment }, { "failure_domain", values.failureDomain },
            { "peer", m_controlPlane->peerAddress().toString() }, { "data", values.dataAddress.toString() },
            { "version", SAMPHIREPITCH_VERSION } });
    const Result<void> result = co_await m_supervisor.run();
    m_metricsServer.stop();
    co_return exitOf(result);
}

bool Instance::requestStop(std::string_view reason)
{
    if (m_leaving) {
        return false;
    }
    m_leaving = true;
    const StopPlan plan(m_clock.now(), m_settings.values().stopTimeout, m_settings.values().stopLinger);
    m_events.record(EventSeverity::Info, "stop_begun",
        { { "reason", std::string(reason) }, { "timeout_ms", std::to_string(m_settings.values().stopTimeout.count()) } });
    m_controlPlane->beginLeaving();
    m_dataPath->beginDrain();
    asio::co_spawn(m_executor, finishWork(plan), asio::detached);
    return true;
}

void Instance::reload(const Settings &next)
{
    for (const Settings::Change &change : m_settings.changes(next)) {
        m_events.record(change.reloadable ? EventSeverity::Info : EventSeverity::Warning,
            change.reloadable ? "settings_changed" : "settings_change_ignored",
            { { "key", std::string(change.key) }, { "before", change.before }, { "after", change.after } });
    }
    m_settings = m_settings.reloaded(next);
    m_events.setRate(m_settings.values().eventsRate);
    if (const auto set = m_logger->setLevel(m_settings.values().logLevel); !set) {
        m_events.record(EventSeverity::Error, "log_level_refused", { { "error", set.error().describe() } });
    }
}

void Instance::reloadFailed(const KeyFindings &findings)
{
    for (const KeyFinding &finding : findings) {
        m_events.record(EventSeverity::Error, "settings_refused", { { "finding", finding.describe() } });
    }
}

bool Instance::isServing() const
{
    return !m_leaving && m_dataPath->activeGeneration() > 0;
}

std::string_view Instance::stateName() const
{
    if (m_leaving) {
        return "leaving";
    }
    return m_dataPath->activeGeneration() > 0 ? "serving" : "no_generation";
}

Endpoint Instance::metricsAddress() const
{
    return m_metricsServer.address();
}

bool Instance::drainRequested()
{
    return requestStop("drain_request");
}

Result<void> Instance::createParts()
{
    const Settings::Fields &values = m_settings.values();
    auto platform = HttpPlatform::create(m_executor, m_clock, values.platformAddress);
    if (!platform) {
        return tl::unexpected(platform.error());
    }
    m_platform = *std::move(platform);
    for (const auto create : { &Instance::createDataPath, &Instance::createHealthProber, &Instance::createControlPlane }) {
        if (auto created = (this->*create)(); !created) {
            return created;
        }
    }
    m_metrics.add(m_events);
    m_metrics.add(*m_controlPlane);
    m_metrics.add(*m_dataPath);
    m_metrics.add(*m_healthProber);
    return values.metricsAddress.isUnset() ? Result<void>() : m_metricsServer.listen(m_executor, values.metricsAddress);
}

Result<void> Instance::createDataPath()
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
    m_dataPath->setExceptionTransport(m_bridge.get());
    m_dataPath->setAnswerObserver(&m_answerLatency);
    return {};
}

Result<void> Instance::createHealthProber()
{
    const Settings::Fields &values = m_settings.values();
    HealthProber::Parts parts { m_clock, m_random, m_hybrid, m_events, *m_bridge, std::make_unique<HttpServerProbe>(m_executor, m_clock) };
    auto prober = HealthProber::create(m_executor, values.instanceId, values.failureDomain, std::move(parts));
    if (!prober) {
        return tl::unexpected(prober.error());
    }
    m_healthProber = *std::move(prober);
    return {};
}

Result<void> Instance::createControlPlane()
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
    // The bridge gives states of servers to the data path, so the data path gets a configuration first.
    ControlPlaneParts parts { m_clock, m_random, m_hybrid, m_events, *m_platform, *m_bridge, m_events, *this,
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

void Instance::addChildren()
{
    m_supervisor.add({ .name = "housekeeping", .start = [this] { return runHousekeeping(); } });
    m_supervisor.add({ .name = "loop_monitor", .start = [this] { return m_monitor.run(); } });
    // The planes hold sockets and state that a restart of their task could not rebuild, so their failure ends the process.
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

std::size_t Instance::pendingWork() const
{
    return m_dataPath->pendingRequests();
}

asio::awaitable<Result<void>> Instance::runControlPlane()
{
    co_await m_controlPlane->run();
    if (!m_leaving) {
        co_return failure(ErrorKind::Stopped, "control_plane", "the control plane ended although it has to run");
    }
    co_return Result<void>();
}

asio::awaitable<Result<void>> Instance::runDataPath()
{
    co_await m_dataPath->run();
    if (!m_leaving) {
        co_return failure(ErrorKind::Stopped, "data_path", "the data path ended although it has to run");
    }
    co_return Result<void>();
}

asio::awaitable<Result<void>> Instance::runBridge()
{
    asio::steady_timer timer(m_executor);
    while (true) {
        m_bridge->refresh();
        timer.expires_after(bridgeInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<Result<void>> Instance::runHousekeeping()
{
    asio::steady_timer timer(m_executor);
    while (true) {
        timer.expires_after(housekeepingInterval);
        co_await timer.async_wait(asio::use_awaitable);
        m_events.reportSuppressed();
    }
}

asio::awaitable<void> Instance::finishWork(StopPlan plan)
{
    asio::steady_timer timer(m_executor);
    StopPlan::Step step = plan.update(m_clock.now(), pendingWork());
    while (step == StopPlan::Step::Wait) {
        timer.expires_after(stopCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
        step = plan.update(m_clock.now(), pendingWork());
    }
    m_late = step == StopPlan::Step::EndLate;
    m_supervisor.requestStop(m_clock.now() + taskStopTime);
}

DaemonExit Instance::exitOf(const Result<void> &result)
{
    DaemonExit code = m_late ? DaemonExit::StopDeadline : DaemonExit::Done;
    if (!result) {
        code = result.error().kind() == ErrorKind::DeadlineExceeded ? DaemonExit::StopDeadline : DaemonExit::Failed;
    }
    m_events.record(code == DaemonExit::Done ? EventSeverity::Info : EventSeverity::Error, "instance_stopped",
        { { "exit_code", std::to_string(static_cast<int>(code)) }, { "pending", std::to_string(pendingWork()) },
            { "error", result ? "" : result.error().describe() } });
    return code;
}

} // namespace Samphirepitch
