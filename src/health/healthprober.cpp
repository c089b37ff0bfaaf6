#include "health/healthprober.h"

#include "core/eventsink.h"
#include "core/hybridclock.h"
#include "core/random.h"
#include "health/healthreporter.h"
#include "health/serverprobe.h"

#include <asio/bind_cancellation_slot.hpp>
#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace Samphirepitch
{

using std::chrono::milliseconds;

Result<std::unique_ptr<HealthProber>> HealthProber::create(
    const asio::any_io_executor &executor, std::string instanceId, std::string failureDomain, Dependencies dependencies)
{
    if (instanceId.empty() || failureDomain.empty() || !dependencies.probe) {
        return failure(ErrorKind::InvalidArgument, "health_prober", "an instance id, a failure domain and a probe are required");
    }
    return std::unique_ptr<HealthProber>(
        new HealthProber(executor, std::move(instanceId), std::move(failureDomain), std::move(dependencies)));
}

HealthProber::HealthProber(
    const asio::any_io_executor &executor, std::string instanceId, std::string failureDomain, Dependencies dependencies)
    : m_executor(executor)
    , m_dependencies(std::move(dependencies))
    , m_selection(std::move(instanceId), std::move(failureDomain))
    , m_tickTimer(executor)
    , m_probeEndedTimer(executor, asio::steady_timer::time_point::max())
{
}

HealthProber::~HealthProber() = default;

asio::awaitable<Result<void>> HealthProber::run()
{
    std::error_code ignored;
    while (!m_stopped) {
        tick(m_dependencies.clock.now());
        m_tickTimer.expires_after(tickInterval);
        co_await m_tickTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    removeEndedProbes();
    while (!m_runningProbes.empty()) {
        co_await m_probeEndedTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        removeEndedProbes();
    }
    co_return Result<void>();
}

void HealthProber::stop()
{
    m_stopped = true;
    m_tickTimer.cancel();
    for (RunningProbe &running : m_runningProbes) {
        running.signal.emit(asio::cancellation_type::terminal);
    }
}

void HealthProber::tick(TimePoint now)
{
    removeEndedProbes();
    updateTargets(now);
    std::vector<Target *> due;
    for (auto &[server, target] : m_targets) {
        if (!target.isProbeRunning && target.nextProbe <= now) {
            due.push_back(&target);
        }
    }
    // Without sorting, maxConcurrentProbes would starve the last servers of the map while many probes time out.
    std::sort(due.begin(), due.end(), [](const Target *left, const Target *right) { return left->nextProbe < right->nextProbe; });
    for (Target *target : due) {
        if (m_runningProbes.size() >= maxConcurrentProbes) {
            break;
        }
        startProbe(*target, now);
    }
}

std::size_t HealthProber::serverCount() const
{
    return m_targets.size();
}

std::size_t HealthProber::downCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [](const auto &entry) { return !entry.second.state.isUp(); }));
}

void HealthProber::configurationChanged(const ConfigGeneration &generation)
{
    m_pendingConfig = generation.set;
}

void HealthProber::memberViewChanged(std::shared_ptr<const MemberView> view)
{
    m_pendingView = std::move(view);
}

void HealthProber::serverStatesChanged(const ServerStates &states)
{
    for (const ServerHealthChange &change : states.states) {
        const ServerKey server(change.pool, change.server);
        m_reportedDown.update(change);
        if (const auto found = m_targets.find(server); found != m_targets.end()) {
            found->second.state.stateReported(change.healthy);
        }
    }
}

void HealthProber::flowExceptionsReceived(const std::string &, const FlowExceptionBatch &)
{
}

void HealthProber::flowExceptionsDelivered(const std::string &, std::uint64_t)
{
}

void HealthProber::preparedEverywhere(std::uint64_t)
{
}

void HealthProber::writeMetrics(MetricWriter &writer) const
{
    for (std::size_t index = 0; index < m_results.size(); ++index) {
        writer.counter("samphirepitch_health_probes_total", "Probes of backend servers by result",
            { { "result", probeResultName(static_cast<ProbeResult>(index)) } }, m_results[index]);
    }
    writer.gauge(
        "samphirepitch_health_servers_probed", "Backend servers that this instance probes", {}, static_cast<double>(serverCount()));
    writer.gauge(
        "samphirepitch_health_servers_down", "Probed backend servers that are considered down", {}, static_cast<double>(downCount()));
}

void HealthProber::removeEndedProbes()
{
    m_runningProbes.remove_if([](const RunningProbe &running) { return running.hasEnded; });
}

void HealthProber::updateTargets(TimePoint now)
{
    if (!m_pendingView && !m_pendingConfig) {
        return;
    }
    if (m_pendingView) {
        m_selection.setMemberView(*std::exchange(m_pendingView, nullptr));
    }
    if (m_pendingConfig) {
        m_selection.setConfig(*std::exchange(m_pendingConfig, nullptr));
    }
    std::map<ServerKey, Target> targets;
    for (ProberSelection::Assignment &assignment : m_selection.assignments()) {
        const ServerKey server = assignment.server;
        const auto known = m_targets.find(server);
        if (known != m_targets.end() && known->second.assignment == assignment) {
            targets.emplace(server, std::move(known->second));
            continue;
        }
        Target target = makeTarget(std::move(assignment), now);
        target.isProbeRunning = known != m_targets.end() && known->second.isProbeRunning;
        targets.emplace(server, std::move(target));
    }
    m_targets = std::move(targets);
    for (const RunningProbe &running : m_runningProbes) {
        // The last probe of a server that was unassigned and assigned again may still be running.
        if (const auto found = m_targets.find(running.server); found != m_targets.end()) {
            found->second.isProbeRunning = true;
        }
    }
}

HealthProber::Target HealthProber::makeTarget(ProberSelection::Assignment assignment, TimePoint now)
{
    // A previous prober may have reported "down" and failed since, so the state starts with the last report.
    const ProbedServerState state(!m_reportedDown.contains(assignment.server.first, assignment.server.second));
    return { std::move(assignment), state, now + milliseconds(m_dependencies.random.below(probeInterval.count())) };
}

void HealthProber::startProbe(Target &target, TimePoint now)
{
    target.isProbeRunning = true;
    target.nextProbe = now + probeInterval - jitter + milliseconds(m_dependencies.random.below(2 * jitter.count() + 1));
    const ServerKey server = target.assignment.server;
    const auto running = m_runningProbes.emplace(m_runningProbes.end());
    running->server = server;
    auto ended = [this, running](const std::exception_ptr &) {
        // A cancelled probe ends with an exception and has no result.
        if (const auto found = m_targets.find(running->server); found != m_targets.end()) {
            found->second.isProbeRunning = false;
        }
        running->hasEnded = true;
        m_probeEndedTimer.cancel();
    };
    asio::co_spawn(m_executor, probe(server, target.assignment.health, now + probeTimeout),
        asio::bind_cancellation_slot(running->signal.slot(), std::move(ended)));
}

asio::awaitable<void> HealthProber::probe(ServerKey server, Endpoint health, TimePoint deadline)
{
    const ProbeResult result = co_await m_dependencies.probe->probe(health, deadline);
    if (!m_stopped) {
        handleResult(server, health, result);
    }
}

void HealthProber::handleResult(const ServerKey &server, Endpoint health, ProbeResult result)
{
    ++m_results.at(static_cast<std::size_t>(result));
    const auto found = m_targets.find(server);
    if (found == m_targets.end() || found->second.assignment.health != health) {
        return; // the server was removed or its health address changed during the probe
    }
    // An isolated instance would consider all servers down, and would report that to its peers when it rejoins.
    const bool cutOff = m_dependencies.clock.now() >= m_dependencies.reporter.viewDeadline();
    if (!isSuccess(result) && cutOff) {
        return;
    }
    if (found->second.state.recordProbe(isSuccess(result))) {
        reportChange(server, isSuccess(result), result);
    }
}

void HealthProber::reportChange(const ServerKey &server, bool isUp, ProbeResult result)
{
    m_dependencies.events.record(isUp ? EventSeverity::Info : EventSeverity::Warning, isUp ? "server_up" : "server_down",
        { { "pool", server.first }, { "server", server.second }, { "source", "probe" },
            { "result", std::string(probeResultName(result)) } });
    ServerStates states;
    states.states.push_back({ server.first, server.second, isUp, m_dependencies.hybridClock.tick(m_dependencies.clock.wallNow()) });
    m_reportedDown.update(states.states.back());
    m_dependencies.reporter.reportServerStates(states);
}

} // namespace Samphirepitch
