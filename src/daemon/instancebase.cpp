#include "daemon/instancebase.h"

#include "core/hash.h"

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
constexpr milliseconds stopCheckInterval { 20 };

// When the tasks are stopped, no work is pending and they only close sockets.
constexpr milliseconds taskStopTimeout { 500 };

std::uint64_t chooseSeed(const Settings &settings, const Clock &clock)
{
    const std::uint64_t given = settings.values().randomSeed;
    return given != 0 ? given
                      : mix64(hash64(settings.values().instanceId), static_cast<std::uint64_t>(clock.now().time_since_epoch().count()));
}

} // namespace

InstanceBase::InstanceBase(asio::any_io_executor executor, const Clock &clock, const Settings &settings, std::unique_ptr<Logger> logger)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_settings(settings)
    , m_logger(std::move(logger))
    , m_events(settings.values().instanceId, clock, m_hybrid, *m_logger,
          { .capacity = settings.values().eventsCapacity, .rate = settings.values().eventsRate })
    , m_random(chooseSeed(settings, clock))
    , m_monitor(clock, m_events, m_metrics.addHistogram("samphirepitch_loop_lateness_seconds", "How late the event loop runs its timers."))
    , m_metricsServer(m_metrics, *this)
    , m_supervisor("instance", m_executor, clock, m_events, {})
{
    m_metrics.add(m_events);
    m_metrics.add(*m_logger);
}

InstanceBase::~InstanceBase() = default;

asio::awaitable<DaemonExit> InstanceBase::run()
{
    std::vector<EventField> fields { { "deployment", m_settings.values().deployment },
        { "failure_domain", m_settings.values().failureDomain }, { "version", SAMPHIREPITCH_VERSION } };
    const std::vector<EventField> more = startFields();
    fields.insert(fields.end(), more.begin(), more.end());
    m_events.record(EventSeverity::Info, "instance_started", std::move(fields));
    const Result<void> result = co_await m_supervisor.run();
    m_metricsServer.stop();
    co_return recordExit(result);
}

bool InstanceBase::requestStop(std::string_view reason)
{
    if (m_leaving) {
        return false;
    }
    m_leaving = true;
    const GracefulStop gracefulStop(m_clock.now(), m_settings.values().stopTimeout, m_settings.values().stopLinger);
    m_events.record(EventSeverity::Info, "stop_begun",
        { { "reason", std::string(reason) }, { "timeout_ms", std::to_string(m_settings.values().stopTimeout.count()) } });
    beginLeaving();
    asio::co_spawn(m_executor, finishPendingWork(gracefulStop), asio::detached);
    return true;
}

void InstanceBase::reload(const Settings &next)
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

void InstanceBase::reportReloadFailure(const KeyFindings &findings)
{
    for (const KeyFinding &finding : findings) {
        m_events.record(EventSeverity::Error, "settings_refused", { { "finding", finding.describe() } });
    }
}

bool InstanceBase::isServing() const
{
    return !m_leaving && hasConfiguration();
}

std::string_view InstanceBase::stateName() const
{
    if (m_leaving) {
        return "leaving";
    }
    return hasConfiguration() ? "serving" : "no_generation";
}

Endpoint InstanceBase::metricsAddress() const
{
    return m_metricsServer.address();
}

void InstanceBase::addCommonTasks()
{
    m_supervisor.add({ .name = "housekeeping", .start = [this] { return runHousekeeping(); } });
    m_supervisor.add({ .name = "loop_monitor", .start = [this] { return m_monitor.run(); } });
}

Result<void> InstanceBase::listenForMetrics()
{
    for (const Endpoint address : { m_settings.values().metricsAddress, m_settings.values().healthAddress }) {
        if (!address.isUnset()) {
            if (auto listening = m_metricsServer.listen(m_executor, address); !listening) {
                return listening;
            }
        }
    }
    return {};
}

bool InstanceBase::isLeaving() const
{
    return m_leaving;
}

asio::awaitable<Result<void>> InstanceBase::runHousekeeping()
{
    asio::steady_timer timer(m_executor);
    while (true) {
        timer.expires_after(housekeepingInterval);
        co_await timer.async_wait(asio::use_awaitable);
        m_events.reportSuppressed();
    }
}

asio::awaitable<void> InstanceBase::finishPendingWork(GracefulStop gracefulStop)
{
    asio::steady_timer timer(m_executor);
    GracefulStop::Decision decision = gracefulStop.update(m_clock.now(), pendingWork());
    while (decision == GracefulStop::Decision::Wait) {
        timer.expires_after(stopCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
        decision = gracefulStop.update(m_clock.now(), pendingWork());
    }
    m_deadlinePassed = decision == GracefulStop::Decision::EndAtDeadline;
    m_supervisor.requestStop(m_clock.now() + taskStopTimeout);
}

DaemonExit InstanceBase::recordExit(const Result<void> &result)
{
    DaemonExit code = m_deadlinePassed ? DaemonExit::StopDeadline : DaemonExit::Done;
    if (!result) {
        code = result.error().kind() == ErrorKind::DeadlineExceeded ? DaemonExit::StopDeadline : DaemonExit::Failed;
    }
    m_events.record(code == DaemonExit::Done ? EventSeverity::Info : EventSeverity::Error, "instance_stopped",
        { { "exit_code", std::to_string(static_cast<int>(code)) }, { "pending", std::to_string(pendingWork()) },
            { "error", result ? "" : result.error().describe() } });
    return code;
}

} // namespace Samphirepitch
