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
    const asio::any_io_executor &executor, std::string instanceId, std::string failureDomain, Parts parts)
{
    if (instanceId.empty() || failureDomain.empty() || !parts.probe) {
        return failure(ErrorKind::InvalidArgument, "health_prober", "an instance id, a failure domain and a probe are needed");
    }
    return std::unique_ptr<HealthProber>(new HealthProber(executor, std::move(instanceId), std::move(failureDomain), std::move(parts)));
}

HealthProber::HealthProber(const asio::any_io_executor &executor, std::string instanceId, std::string failureDomain, Parts parts)
    : m_executor(executor)
    , m_parts(std::move(parts))
    , m_selection(std::move(instanceId), std::move(failureDomain))
    , m_tick(executor)
    , m_probeEnded(executor, asio::steady_timer::time_point::max())
{
}

HealthProber::~HealthProber() = default;

asio::awaitable<Result<void>> HealthProber::run()
{
    std::error_code ignored;
    while (!m_stopped) {
        step(m_parts.clock.now());
        m_tick.expires_after(tickInterval);
        co_await m_tick.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    removeEnded();
    while (!m_running.empty()) {
        co_await m_probeEnded.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        removeEnded();
    }
    co_return Result<void>();
}

void HealthProber::stop()
{
    m_stopped = true;
    m_tick.cancel();
    for (Running &running : m_running) {
        running.signal.emit(asio::cancellation_type::terminal);
    }
}

void HealthProber::step(TimePoint now)
{
    removeEnded();
    updateTargets(now);
    std::vector<Target *> due;
    for (auto &[server, target] : m_targets) {
        if (!target.isRunning && target.nextProbe <= now) {
            due.push_back(&target);
        }
    }
    // In the order of the map, the bound would starve the last servers while many probes run into their deadline.
    std::sort(due.begin(), due.end(), [](const Target *left, const Target *right) { return left->nextProbe < right->nextProbe; });
    for (Target *target : due) {
        if (m_running.size() >= maxProbes) {
            break;
        }
        start(*target, now);
    }
}

std::size_t HealthProber::serverCount() const
{
    return m_targets.size();
}

std::size_t HealthProber::downCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [](const auto &entry) { return !entry.second.verdict.isUp(); }));
}

void HealthProber::configurationChanged(const ConfigGeneration &generation)
{
    m_newConfig = generation.set;
}

void HealthProber::memberViewChanged(std::shared_ptr<const MemberView> view)
{
    m_newView = std::move(view);
}

void HealthProber::serverStatesChanged(const ServerStates &states)
{
    for (const ServerHealthChange &change : states.states) {
        const ServerKey server(change.pool, change.server);
        m_spreadDown.note(change);
        if (const auto found = m_targets.find(server); found != m_targets.end()) {
            found->second.verdict.stateSpread(change.healthy);
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
        "samphirepitch_health_servers_down", "Probed backend servers that are held for down", {}, static_cast<double>(downCount()));
}

void HealthProber::removeEnded()
{
    m_running.remove_if([](const Running &running) { return running.hasEnded; });
}

void HealthProber::updateTargets(TimePoint now)
{
    if (!m_newView && !m_newConfig) {
        return;
    }
    if (m_newView) {
        m_selection.setView(*std::exchange(m_newView, nullptr));
    }
    if (m_newConfig) {
        m_selection.setConfig(*std::exchange(m_newConfig, nullptr));
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
        target.isRunning = known != m_targets.end() && known->second.isRunning;
        targets.emplace(server, std::move(target));
    }
    m_targets = std::move(targets);
    for (const Running &running : m_running) {
        // A server that was left and came back has its former probe still running.
        if (const auto found = m_targets.find(running.server); found != m_targets.end()) {
            found->second.isRunning = true;
        }
    }
}

HealthProber::Target HealthProber::makeTarget(ProberSelection::Assignment assignment, TimePoint now)
{
    // A former prober may have spread "down" and be gone, so the verdict starts with the state that the peers hold.
    const ProbeVerdict verdict(!m_spreadDown.contains(assignment.server.first, assignment.server.second));
    return { std::move(assignment), verdict, now + milliseconds(m_parts.random.below(interval.count())) };
}

void HealthProber::start(Target &target, TimePoint now)
{
    target.isRunning = true;
    target.nextProbe = now + interval - jitter + milliseconds(m_parts.random.below(2 * jitter.count() + 1));
    const ServerKey server = target.assignment.server;
    const auto running = m_running.emplace(m_running.end());
    running->server = server;
    auto ended = [this, running](const std::exception_ptr &) {
        // A probe that was cancelled ends with an exception and has no result.
        if (const auto found = m_targets.find(running->server); found != m_targets.end()) {
            found->second.isRunning = false;
        }
        running->hasEnded = true;
        m_probeEnded.cancel();
    };
    asio::co_spawn(m_executor, probe(server, target.assignment.health, now + probeTimeout),
        asio::bind_cancellation_slot(running->signal.slot(), std::move(ended)));
}

asio::awaitable<void> HealthProber::probe(ServerKey server, Endpoint health, TimePoint deadline)
{
    const ProbeResult result = co_await m_parts.probe->probe(health, deadline);
    if (!m_stopped) {
        finished(server, health, result);
    }
}

void HealthProber::finished(const ServerKey &server, Endpoint health, ProbeResult result)
{
    ++m_results.at(static_cast<std::size_t>(result));
    const auto found = m_targets.find(server);
    if (found == m_targets.end() || found->second.assignment.health != health) {
        return; // the server was removed, or its address was changed meanwhile
    }
    // An instance that is cut off would hold all servers for down, and would spread that when it rejoins.
    const bool cutOff = m_parts.clock.now() >= m_parts.reporter.viewDeadline();
    if (!isGood(result) && cutOff) {
        return;
    }
    if (found->second.verdict.probed(isGood(result))) {
        report(server, isGood(result), result);
    }
}

void HealthProber::report(const ServerKey &server, bool isUp, ProbeResult result)
{
    m_parts.events.record(isUp ? EventSeverity::Info : EventSeverity::Warning, isUp ? "server_up" : "server_down",
        { { "pool", server.first }, { "server", server.second }, { "source", "probe" },
            { "result", std::string(probeResultName(result)) } });
    ServerStates states;
    states.states.push_back({ server.first, server.second, isUp, m_parts.hybridClock.tick(m_parts.clock.wallNow()) });
    m_spreadDown.note(states.states.back());
    m_parts.reporter.reportServerStates(states);
}

} // namespace Samphirepitch
