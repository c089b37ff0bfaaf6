#include "daemon/daemonframe.h"

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

// After the work has ended, the tasks only close sockets.
constexpr milliseconds taskStopTime { 500 };

std::uint64_t seedOf(const Settings &settings, const Clock &clock)
{
    const std::uint64_t given = settings.values().randomSeed;
    return given != 0 ? given
                      : mix64(hash64(settings.values().instanceId), static_cast<std::uint64_t>(clock.now().time_since_epoch().count()));
}

} // namespace

DaemonFrame::DaemonFrame(asio::any_io_executor executor, const Clock &clock, const Settings &settings, std::unique_ptr<Logger> logger)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_settings(settings)
    , m_logger(std::move(logger))
    , m_events(settings.values().instanceId, clock, m_hybrid, *m_logger,
          { .capacity = settings.values().eventsCapacity, .rate = settings.values().eventsRate })
    , m_random(seedOf(settings, clock))
    , m_monitor(clock, m_events, m_metrics.addHistogram("samphirepitch_loop_lateness_seconds", "How late the thread runs its tasks."))
    , m_metricsServer(m_metrics, *this)
    , m_supervisor("instance", m_executor, clock, m_events, {})
{
    m_metrics.add(m_events);
    m_metrics.add(*m_logger);
}

DaemonFrame::~DaemonFrame() = default;

asio::awaitable<DaemonExit> DaemonFrame::run()
{
    std::vector<EventField> fields { { "deployment", m_settings.values().deployment },
        { "failure_domain", m_settings.values().failureDomain }, { "version", SAMPHIREPITCH_VERSION } };
    const std::vector<EventField> more = startFields();
    fields.insert(fields.end(), more.begin(), more.end());
    m_events.record(EventSeverity::Info, "instance_started", std::move(fields));
    const Result<void> result = co_await m_supervisor.run();
    m_metricsServer.stop();
    co_return exitOf(result);
}

bool DaemonFrame::requestStop(std::string_view reason)
{
    if (m_leaving) {
        return false;
    }
    m_leaving = true;
    const StopPlan plan(m_clock.now(), m_settings.values().stopTimeout, m_settings.values().stopLinger);
    m_events.record(EventSeverity::Info, "stop_begun",
        { { "reason", std::string(reason) }, { "timeout_ms", std::to_string(m_settings.values().stopTimeout.count()) } });
    beginLeaving();
    asio::co_spawn(m_executor, finishWork(plan), asio::detached);
    return true;
}

void DaemonFrame::reload(const Settings &next)
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

void DaemonFrame::reloadFailed(const KeyFindings &findings)
{
    for (const KeyFinding &finding : findings) {
        m_events.record(EventSeverity::Error, "settings_refused", { { "finding", finding.describe() } });
    }
}

bool DaemonFrame::isServing() const
{
    return !m_leaving && hasConfiguration();
}

std::string_view DaemonFrame::stateName() const
{
    if (m_leaving) {
        return "leaving";
    }
    return hasConfiguration() ? "serving" : "no_generation";
}

Endpoint DaemonFrame::metricsAddress() const
{
    return m_metricsServer.address();
}

void DaemonFrame::addFrameTasks()
{
    m_supervisor.add({ .name = "housekeeping", .start = [this] { return runHousekeeping(); } });
    m_supervisor.add({ .name = "loop_monitor", .start = [this] { return m_monitor.run(); } });
}

Result<void> DaemonFrame::listenForMetrics()
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

bool DaemonFrame::isLeaving() const
{
    return m_leaving;
}

asio::awaitable<Result<void>> DaemonFrame::runHousekeeping()
{
    asio::steady_timer timer(m_executor);
    while (true) {
        timer.expires_after(housekeepingInterval);
        co_await timer.async_wait(asio::use_awaitable);
        m_events.reportSuppressed();
    }
}

asio::awaitable<void> DaemonFrame::finishWork(StopPlan plan)
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

DaemonExit DaemonFrame::exitOf(const Result<void> &result)
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
