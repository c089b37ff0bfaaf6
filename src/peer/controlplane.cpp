#include "peer/controlplane.h"

#include "core/eventsink.h"
#include "core/random.h"
#include "membership/memberlistener.h"
#include "peer/drainhandler.h"
#include "peer/eventsource.h"
#include "peer/generationsource.h"
#include "peer/linkmetrics.h"
#include "peer/peerlink.h"
#include "peer/peerlistener.h"
#include "peer/peerserver.h"

#include <asio/bind_cancellation_slot.hpp>
#include <asio/co_spawn.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/post.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr auto token = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::size_t maxSeeds = 16;

Result<void> checkLength(const char *field, const std::string &value)
{
    if (value.empty() || value.size() > MessageLimits::id) {
        return failure(ErrorKind::InvalidArgument, field, "must be 1 to 128 bytes long");
    }
    return {};
}

Result<void> checkSettings(const ControlPlaneSettings &settings)
{
    for (const auto &[field, value] : { std::pair("deployment", &settings.deployment), std::pair("instance id", &settings.instanceId),
             std::pair("failure domain", &settings.failureDomain) }) {
        if (const Result<void> checked = checkLength(field, *value); !checked) {
            return checked;
        }
    }
    if (settings.seeds.size() > maxSeeds) {
        return failure(ErrorKind::InvalidArgument, "seeds", "at most 16 are allowed");
    }
    return {};
}

Member::Fields ownMember(const ControlPlaneSettings &settings)
{
    return { settings.instanceId, settings.failureDomain, settings.peerAddress, settings.dataAddress, settings.incarnation,
        MemberState::Alive };
}

/** Returns the report without its timestamps, which change constantly, so that reports can be compared. */
GenerationReport withoutTimes(GenerationReport report)
{
    for (InstanceStatus &instance : report.instances) {
        instance.lastHeardMs = 0;
    }
    return report;
}

} // namespace

Result<std::unique_ptr<ControlPlane>> ControlPlane::create(
    const asio::any_io_executor &executor, ControlPlaneSettings settings, ControlPlaneDependencies dependencies)
{
    if (const Result<void> checked = checkSettings(settings); !checked) {
        return tl::unexpected<Error>(checked.error());
    }
    // The membership needs the port for the entry of this instance, and the port is known only after listening.
    std::unique_ptr<ControlPlane> plane(new ControlPlane(executor, std::move(settings), std::move(dependencies)));
    const LinkContext context { *plane, plane->m_dependencies.clock, plane->m_dependencies.events, plane->m_counters };
    Result<std::unique_ptr<PeerServer>> server = PeerServer::create(executor, plane->m_settings.peerAddress, context);
    if (!server) {
        return tl::unexpected<Error>(server.error());
    }
    plane->m_server = std::move(*server);
    plane->m_settings.peerAddress = Endpoint(plane->m_settings.peerAddress.address(), plane->m_server->address().port());
    plane->m_membership = Membership(ownMember(plane->m_settings), plane->m_dependencies.clock.now());
    plane->m_dialer = std::make_unique<PeerDialer>(
        *plane->m_server, plane->m_membership, plane->m_links, plane->m_dependencies.random, plane->m_settings.seeds);
    plane->updatePlan();
    return plane;
}

ControlPlane::ControlPlane(const asio::any_io_executor &executor, ControlPlaneSettings settings, ControlPlaneDependencies dependencies)
    : m_executor(executor)
    , m_settings(std::move(settings))
    , m_dependencies(std::move(dependencies))
    , m_membership(ownMember(m_settings), m_dependencies.clock.now())
    , m_links(m_settings.instanceId)
    , m_distributor(m_store, m_links, m_dependencies.events, m_dependencies.configListeners)
    , m_progressTree(m_settings.instanceId)
    , m_plan { nullptr, WatcherSelection(MemberView(), {}), {} }
    , m_headWatcher(
          { m_dependencies.platform, *this, m_dependencies.clock, m_dependencies.random, m_dependencies.events }, m_distributor, m_store)
    , m_instanceListReader({ m_dependencies.platform, *this, m_dependencies.clock, m_dependencies.random, m_dependencies.events })
    , m_statusWriter({ m_dependencies.platform, *this, m_dependencies.clock, m_dependencies.random, m_dependencies.events })
    , m_tasksEnded(executor, asio::steady_timer::time_point::max())
    , m_progressTimer(executor)
    , m_startDeadline(m_dependencies.clock.now())
    , m_platformContactAt(m_dependencies.clock.now())
    , m_platformContactDelay(m_dependencies.random.below(platformContactJitter.count()))
{
    const bool hasSeeds
        = std::any_of(m_settings.seeds.begin(), m_settings.seeds.end(), [this](Endpoint seed) { return seed != m_settings.peerAddress; });
    if (hasSeeds) {
        m_startDeadline += startTimeout;
    }
}

ControlPlane::~ControlPlane() = default;

asio::awaitable<void> ControlPlane::run()
{
    spawn(tickLoop());
    spawn(m_headWatcher.run());
    spawn(m_instanceListReader.run());
    spawn(m_statusWriter.run());
    co_await m_server->run();
    while (m_taskCount > 0) {
        co_await m_tasksEnded.async_wait(token);
    }
}

void ControlPlane::stop()
{
    if (!std::exchange(m_stopped, true)) {
        m_server->stop();
        m_progressTimer.cancel();
        for (asio::cancellation_signal &signal : m_cancellationSignals) {
            signal.emit(asio::cancellation_type::terminal);
        }
    }
}

void ControlPlane::beginLeaving()
{
    m_membership.beginLeaving();
    scheduleFlush();
}

void ControlPlane::progressChanged()
{
    scheduleFlush();
}

void ControlPlane::broadcastServerStates(const ServerStates &states)
{
    for (std::size_t first = 0; first < states.states.size(); first += MessageLimits::serverStates) {
        const std::size_t last = std::min(first + MessageLimits::serverStates, states.states.size());
        const ServerStates chunk { { states.states.begin() + static_cast<std::ptrdiff_t>(first),
            states.states.begin() + static_cast<std::ptrdiff_t>(last) } };
        const ServerStates newer = m_serverStateTable.merge(chunk);
        if (!newer.states.empty()) {
            m_links.broadcast(newer);
        }
    }
}

bool ControlPlane::sendFlowExceptions(const std::string &instance, FlowExceptionBatch exceptions)
{
    if (m_links.send(instance, exceptions)) {
        return true;
    }
    const Member *member = m_membership.view()->member(instance);
    if (!member || member->state() == MemberState::Dead) {
        return false;
    }
    PendingDelivery &pending
        = m_pendingDeliveries.emplace(instance, PendingDelivery { {}, m_dependencies.clock.now() + deliveryTimeout }).first->second;
    if (pending.messages.size() >= maxPendingMessages) {
        ++m_undeliveredCount;
        return false;
    }
    pending.messages.emplace_back(std::move(exceptions));
    m_server->dial(member->peerAddress());
    return true;
}

Endpoint ControlPlane::peerAddress() const
{
    return m_settings.peerAddress;
}

std::shared_ptr<const MemberView> ControlPlane::view() const
{
    return m_plan.view;
}

TimePoint ControlPlane::viewDeadline() const
{
    return m_membership.viewDeadline();
}

const HeadPointer &ControlPlane::held() const
{
    return m_distributor.held();
}

std::uint64_t ControlPlane::preparedEverywhere() const
{
    return m_preparedEverywhere;
}

std::vector<DomainStatus> ControlPlane::statuses() const
{
    std::map<std::string, DomainStatus> result = m_statuses;
    for (const DomainProgress &progress : m_progressTable.all()) {
        DomainStatus &status = result[progress.failureDomain];
        if (status.writtenAtMs < progress.reportedAtMs) {
            status.failureDomain = progress.failureDomain;
            status.writtenAtMs = progress.reportedAtMs;
            status.lowestInForce = progress.active;
        }
    }
    if (isRoot() || !result.contains(m_settings.failureDomain)) {
        result[m_settings.failureDomain] = ownStatus();
    }
    std::vector<DomainStatus> list;
    for (auto &[domain, status] : result) {
        if (list.size() < MessageLimits::statuses) {
            list.push_back(std::move(status));
        }
    }
    return list;
}

const LinkCounters &ControlPlane::linkCounters() const
{
    return m_counters;
}

std::size_t ControlPlane::linkCount() const
{
    return m_links.size();
}

std::size_t ControlPlane::plannedLinkCount() const
{
    return m_plan.targets.size();
}

void ControlPlane::writeMetrics(MetricWriter &writer) const
{
    writeLinkMetrics(m_counters, writer);
    const auto gauge
        = [&writer](std::string_view name, std::string_view help, auto value) { writer.gauge(name, help, {}, static_cast<double>(value)); };
    gauge("samphirepitch_peer_links", "Established links to instances", m_links.size());
    gauge("samphirepitch_members", "Members in the view of this instance", m_plan.view->members().size());
    gauge("samphirepitch_generation_held", "Highest complete generation on this instance", held().generation);
    gauge("samphirepitch_generation_prepared_everywhere", "Highest generation that all reachable instances are prepared for",
        m_preparedEverywhere);
    gauge("samphirepitch_config_store_bytes", "Bytes of the held configuration parts", m_store.bytes());
    gauge("samphirepitch_watches_platform", "1 if this instance watches the platform", watchesPlatform(m_dependencies.clock.now()) ? 1 : 0);
    writer.counter("samphirepitch_parts_refused_total", "Parts refused because they were not requested or could not be stored", {},
        m_distributor.refusedParts());
    writer.counter("samphirepitch_members_refused_total", "Members refused because of the member limit", {}, m_membership.refusedCount());
    writer.counter("samphirepitch_clock_clamped_total", "Messages from senders whose clock was too far ahead", {},
        m_dependencies.hybridClock.clampedCount());
    writer.counter("samphirepitch_platform_restored_total", "Generations written back to the platform", {}, m_headWatcher.restoredCount());
    writer.counter("samphirepitch_peer_undelivered_total", "Messages to instances that were dropped because no link could be established",
        {}, m_undeliveredCount);
}

Hello ControlPlane::localHello() const
{
    const Member::Fields &self = m_membership.self();
    return { Hello::currentVersion, self.id, self.incarnation, self.failureDomain, m_settings.deployment, held().generation,
        self.peerAddress, self.dataAddress };
}

HybridTime ControlPlane::sendTime()
{
    return m_dependencies.hybridClock.tick(m_dependencies.clock.wallNow());
}

void ControlPlane::observeTime(HybridTime at)
{
    m_dependencies.hybridClock.observe(at, m_dependencies.clock.wallNow());
}

bool ControlPlane::linkUp(const std::shared_ptr<PeerLink> &link)
{
    if (link->isClient()) {
        return true;
    }
    const Hello &peer = link->peer();
    if (peer.instanceId == m_settings.instanceId || !m_links.add(link)) {
        return false;
    }
    const TimePoint now = m_dependencies.clock.now();
    m_startDeadline = std::min(m_startDeadline, now + viewSyncTime);
    m_membership.linkUp(
        { peer.instanceId, peer.failureDomain, peer.peerAddress, peer.dataAddress, peer.incarnation, MemberState::Alive }, now);
    m_distributor.linkUp(peer.instanceId);
    sendAllMembers(*link);
    for (const ServerStates &states : m_serverStateTable.unhealthy()) {
        link->send(states);
    }
    link->send(heartbeat(now, m_progressTable.all()));
    deliverPending(peer.instanceId);
    m_nextReport = now; // the new peer may be the parent, which has no report yet
    scheduleFlush();
    return true;
}

bool ControlPlane::received(PeerLink &link, Message &&message)
{
    if (answerQuery(link, message)) {
        return true;
    }
    if (link.isClient()) {
        return false;
    }
    const bool handled = std::visit(
        [this, &link](auto &typed) {
            if constexpr (requires { handle(link, typed); }) {
                handle(link, typed);
                return true;
            }
            return false;
        },
        message);
    scheduleFlush();
    return handled;
}

void ControlPlane::linkDown(PeerLink &link, const Error &reason)
{
    if (link.isClient() || !m_links.remove(link) || m_stopped) {
        return;
    }
    const std::string &peer = link.peer().instanceId;
    const TimePoint now = m_dependencies.clock.now();
    m_dependencies.events.record(EventSeverity::Info, "peer_link_closed",
        { { "peer", peer }, { "kind", std::string(errorKindName(reason.kind())) }, { "detail", reason.detail() } });
    m_membership.linkDown(peer, now);
    m_progressTree.removeReport(peer);
    m_distributor.linkDown(peer, now);
    scheduleFlush();
}

void ControlPlane::dialFailed(Endpoint address, const Error &)
{
    m_dialer->dialFailed(address, m_dependencies.clock.now());
    scheduleFlush();
}

bool ControlPlane::watchesPlatform(TimePoint now) const
{
    if (now < m_startDeadline) {
        return false;
    }
    return m_plan.isWatcher || now >= m_platformContactAt + platformContactTimeout + m_platformContactDelay;
}

std::chrono::milliseconds ControlPlane::instanceListInterval() const
{
    return std::max(minInstanceListInterval, instanceListIntervalPerMember * static_cast<std::int64_t>(m_plan.view->members().size()));
}

std::optional<DomainStatus> ControlPlane::statusToWrite() const
{
    if (!isRoot() || m_dependencies.clock.now() < m_startDeadline) {
        return std::nullopt;
    }
    return ownStatus();
}

void ControlPlane::platformAnswered(TimePoint now)
{
    m_membership.platformContact(now);
    recordPlatformContact(now);
}

void ControlPlane::instanceListRead(const std::vector<ListedInstance> &list, TimePoint now)
{
    m_membership.instanceListRead(list, now);
    scheduleFlush();
}

void ControlPlane::handle(PeerLink &link, Heartbeat &message)
{
    const std::string &peer = link.peer().instanceId;
    const TimePoint now = m_dependencies.clock.now();
    m_membership.apply(message.events, now);
    m_membership.heartbeat(peer, message.incarnation, now);
    m_distributor.peerHolds(peer, message.held);
    // The age comes from the network and is bounded, so that the subtraction cannot overflow.
    const std::uint64_t maxAgeMs = std::chrono::milliseconds(std::chrono::hours(24)).count();
    recordPlatformContact(now - std::chrono::milliseconds(std::min(message.platformContactAgeMs, maxAgeMs)));
    for (const DomainProgress &progress : message.progress) {
        m_progressTable.update(progress);
    }
}

void ControlPlane::handle(PeerLink &link, Announce &message)
{
    m_distributor.announced(link.peer().instanceId, message.head, m_dependencies.clock.now());
}

void ControlPlane::handle(PeerLink &link, PartRequest &message)
{
    m_distributor.partsRequested(link.peer().instanceId, message.names);
}

void ControlPlane::handle(PeerLink &link, PartReply &message)
{
    m_distributor.partReceived(link.peer().instanceId, std::move(message), m_dependencies.clock.now());
}

void ControlPlane::handle(PeerLink &, MemberEvents &message)
{
    m_membership.apply(message.events, m_dependencies.clock.now());
}

void ControlPlane::handle(PeerLink &, ServerStates &message)
{
    const ServerStates newer = m_serverStateTable.merge(message);
    if (newer.states.empty()) {
        return;
    }
    m_links.broadcast(newer);
    for (PeerListener *listener : m_dependencies.peerListeners) {
        listener->serverStatesChanged(newer);
    }
}

void ControlPlane::handle(PeerLink &link, FlowExceptionBatch &message)
{
    for (PeerListener *listener : m_dependencies.peerListeners) {
        listener->flowExceptionsReceived(link.peer().instanceId, message);
    }
    link.send(FlowExceptionAck { message.sequence });
}

void ControlPlane::handle(PeerLink &link, FlowExceptionAck &message)
{
    for (PeerListener *listener : m_dependencies.peerListeners) {
        listener->flowExceptionsDelivered(link.peer().instanceId, message.sequence);
    }
}

void ControlPlane::handle(PeerLink &, StatusReply &message)
{
    for (DomainStatus &status : message.statuses) {
        const auto found = m_statuses.find(status.failureDomain);
        if (found != m_statuses.end() ? found->second.writtenAtMs < status.writtenAtMs : m_statuses.size() < MessageLimits::domains) {
            m_statuses.insert_or_assign(status.failureDomain, std::move(status));
        }
    }
}

void ControlPlane::handle(PeerLink &link, GenerationReport &message)
{
    if (link.peer().failureDomain == m_settings.failureDomain) {
        m_progressTree.addReport(link.peer().instanceId, std::move(message), m_dependencies.clock.now());
    }
}

bool ControlPlane::answerQuery(PeerLink &link, const Message &message)
{
    if (std::holds_alternative<StatusQuery>(message)) {
        link.send(StatusReply { statuses() });
    } else if (const auto *query = std::get_if<EventsQuery>(&message)) {
        link.send(EventsReply { m_dependencies.eventSource.eventsAfter(query->afterSequence, MessageLimits::events) });
    } else if (std::holds_alternative<DrainRequest>(message)) {
        link.send(DrainReply { m_dependencies.drainHandler.drainRequested() });
    } else {
        return false;
    }
    return true;
}

void ControlPlane::spawn(asio::awaitable<void> task)
{
    ++m_taskCount;
    m_cancellationSignals.emplace_back();
    const auto ended = [this, alive = std::weak_ptr<bool>(m_alive)](const std::exception_ptr &error) {
        if (alive.expired()) {
            return;
        }
        if (error && !m_stopped) {
            m_dependencies.events.record(EventSeverity::Error, "control_task_failed", {});
        }
        --m_taskCount;
        m_tasksEnded.cancel();
    };
    asio::co_spawn(m_executor, std::move(task), asio::bind_cancellation_slot(m_cancellationSignals.back().slot(), ended));
}

asio::awaitable<void> ControlPlane::tickLoop()
{
    asio::steady_timer timer(m_executor);
    for (;;) {
        tick(m_dependencies.clock.now());
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void ControlPlane::tick(TimePoint now)
{
    m_server->advance(now);
    m_membership.advance(now);
    m_distributor.advance(now);
    m_serverStateTable.prune(wallMs());
    dropExpiredDeliveries(now);
    updatePlan();
    m_dialer->advance(m_plan.targets, now);
    m_links.closeUnwanted(m_plan.targets, now);
    flush(now);
    if (now >= m_lastHeartbeatAt + PeerLink::heartbeatInterval) {
        const bool full = now >= m_nextRefresh;
        broadcastHeartbeat(now, full);
        if (full) {
            m_nextRefresh = now + refreshInterval;
        }
    }
}

void ControlPlane::scheduleFlush()
{
    if (std::exchange(m_flushScheduled, true)) {
        return;
    }
    // One flush serves all messages that are read before it runs.
    asio::post(m_executor, [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired()) {
            m_flushScheduled = false;
            flush(m_dependencies.clock.now());
        }
    });
}

void ControlPlane::flush(TimePoint now)
{
    if (m_stopped) {
        return;
    }
    sendMemberEvents();
    updatePlan();
    updateProgress(now);
    notifyPrepared();
    if (m_progressTable.hasChanges()) {
        sendProgressChanges(now);
    }
}

void ControlPlane::sendProgressChanges(TimePoint now)
{
    const TimePoint earliest = m_lastHeartbeatAt + progressInterval;
    if (now >= earliest) {
        broadcastHeartbeat(now, false);
    } else if (!std::exchange(m_progressScheduled, true)) {
        m_progressTimer.expires_after(earliest - now);
        m_progressTimer.async_wait([this, alive = std::weak_ptr<bool>(m_alive)](const asio::error_code &) {
            if (!alive.expired()) {
                m_progressScheduled = false;
                flush(m_dependencies.clock.now());
            }
        });
    }
}

void ControlPlane::updatePlan()
{
    const std::shared_ptr<const MemberView> view = m_membership.view();
    if (view == m_plan.view) {
        return;
    }
    WatcherSelection selection(*view, m_settings.failureDomain);
    const auto domainSize = std::count_if(view->members().begin(), view->members().end(),
        [this](const Member &member) { return member.failureDomain() == m_settings.failureDomain && member.state() != MemberState::Dead; });
    const bool isWatcher = selection.isWatcher(m_settings.instanceId);
    m_plan = Plan { view, std::move(selection), m_membership.linkTargets(), static_cast<std::size_t>(domainSize), isWatcher };
    for (MemberListener *listener : m_dependencies.memberListeners) {
        listener->memberViewChanged(view);
    }
}

void ControlPlane::updateProgress(TimePoint now)
{
    const Member::Fields &self = m_membership.self();
    m_progressTree.setOwnStatus({ self.id, self.state, held().generation, m_dependencies.generations.activeGeneration(), wallMs() },
        m_dependencies.generations.preparedGeneration());
    const GenerationReport report = combinedReport(now);
    if (isRoot()) {
        publishProgress(report, now);
    } else {
        reportProgress(report, now);
    }
}

void ControlPlane::reportProgress(const GenerationReport &report, TimePoint now)
{
    const std::string parent = m_plan.selection.parent(m_settings.instanceId);
    const GenerationReport comparable = withoutTimes(report);
    if (comparable == m_lastReport && parent == m_lastParent && now < m_nextReport) {
        return;
    }
    if (m_links.send(parent, report)) {
        m_lastReport = comparable;
        m_lastParent = parent;
        m_nextReport = now + refreshInterval;
    }
}

void ControlPlane::publishProgress(const GenerationReport &report, TimePoint now)
{
    // Peers must not conclude that all members are prepared while a report is missing.
    const bool complete = isComplete(report);
    const DomainProgress progress { m_settings.failureDomain, complete ? report.lowestPrepared : 0, complete ? report.lowestActive : 0,
        wallMs() };
    const GenerationReport comparable = withoutTimes(report);
    m_progressTable.update(progress);
    const bool due = comparable != m_lastReport ? now >= m_lastStatusAt + minStatusInterval : now >= m_lastStatusAt + refreshInterval;
    if (due) {
        m_lastReport = comparable;
        m_lastStatusAt = now;
        m_links.broadcast(StatusReply { { ownStatus() } });
    }
}

void ControlPlane::notifyPrepared()
{
    const std::uint64_t lowest = m_progressTable.lowestPrepared(*m_plan.view);
    if (lowest > m_preparedEverywhere) {
        m_preparedEverywhere = lowest;
        for (PeerListener *listener : m_dependencies.peerListeners) {
            listener->preparedEverywhere(lowest);
        }
    }
}

void ControlPlane::sendMemberEvents()
{
    for (;;) {
        const MemberEvents events { m_membership.takeEvents(MessageLimits::memberEvents) };
        if (events.events.empty()) {
            return;
        }
        m_links.broadcast(events);
    }
}

void ControlPlane::sendAllMembers(PeerLink &link)
{
    const std::vector<MemberEvent> all = m_membership.allEvents();
    for (std::size_t first = 0; first < all.size(); first += MessageLimits::memberEvents) {
        const std::size_t last = std::min(first + MessageLimits::memberEvents, all.size());
        link.send(MemberEvents { { all.begin() + static_cast<std::ptrdiff_t>(first), all.begin() + static_cast<std::ptrdiff_t>(last) } });
    }
}

void ControlPlane::broadcastHeartbeat(TimePoint now, bool full)
{
    m_lastHeartbeatAt = now;
    std::vector<DomainProgress> progress = m_progressTable.takeChanges();
    if (full) {
        progress = m_progressTable.all();
    }
    m_links.broadcast(heartbeat(now, std::move(progress)));
}

Heartbeat ControlPlane::heartbeat(TimePoint now, std::vector<DomainProgress> progress) const
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_platformContactAt);
    return { m_membership.self().incarnation, held().generation, m_dependencies.generations.preparedGeneration(),
        m_dependencies.generations.activeGeneration(), static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count())), {},
        std::move(progress) };
}

void ControlPlane::recordPlatformContact(TimePoint contactAt)
{
    if (contactAt > m_platformContactAt) {
        m_platformContactAt = contactAt;
        m_platformContactDelay = std::chrono::milliseconds(m_dependencies.random.below(platformContactJitter.count()));
    }
}

void ControlPlane::deliverPending(const std::string &peer)
{
    const auto found = m_pendingDeliveries.find(peer);
    if (found != m_pendingDeliveries.end()) {
        for (const Message &message : found->second.messages) {
            m_links.send(peer, message);
        }
        m_pendingDeliveries.erase(found);
    }
}

void ControlPlane::dropExpiredDeliveries(TimePoint now)
{
    for (auto next = m_pendingDeliveries.begin(); next != m_pendingDeliveries.end();) {
        const auto current = next++;
        if (now >= current->second.deadline) {
            m_undeliveredCount += current->second.messages.size();
            m_pendingDeliveries.erase(current);
        }
    }
}

GenerationReport ControlPlane::combinedReport(TimePoint now) const
{
    return m_progressTree.combined(m_plan.selection, m_plan.domainSize, now);
}

DomainStatus ControlPlane::ownStatus() const
{
    const GenerationReport report = combinedReport(m_dependencies.clock.now());
    DomainStatus status { m_settings.failureDomain, m_settings.instanceId, wallMs(), report.highestHeld, report.lowestActive, report.count,
        static_cast<std::uint32_t>(m_plan.domainSize), report.instances };
    std::set<std::string> listedIds;
    for (InstanceStatus &instance : status.instances) {
        const Member *member = m_plan.view->member(instance.id);
        instance.state = member ? member->state() : instance.state;
        listedIds.insert(instance.id);
    }
    const TimePoint now = m_dependencies.clock.now();
    for (const Member &member : m_plan.view->members()) {
        const bool isUnlisted = member.failureDomain() == m_settings.failureDomain && !listedIds.contains(member.id());
        if (isUnlisted && m_plan.domainSize <= ProgressTree::maxListedDomainSize
            && status.instances.size() < MessageLimits::statusInstances) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_membership.lastHeard(member.id()));
            status.instances.push_back({ member.id(), member.state(), 0, 0, wallMs() - static_cast<std::uint64_t>(age.count()) });
        }
    }
    return status;
}

bool ControlPlane::isComplete(const GenerationReport &report) const
{
    if (m_plan.domainSize > ProgressTree::maxListedDomainSize) {
        return report.count >= m_plan.domainSize;
    }
    // While the tree changes, an instance can be counted twice, or a report can list a removed one. The count is then too high, so the
    // ids, which are reliable, are compared with the view.
    std::set<std::string_view> listedIds;
    for (const InstanceStatus &instance : report.instances) {
        listedIds.insert(instance.id);
    }
    return std::all_of(m_plan.view->members().begin(), m_plan.view->members().end(), [&](const Member &member) {
        return member.failureDomain() != m_settings.failureDomain || member.state() == MemberState::Dead || listedIds.contains(member.id());
    });
}

std::uint64_t ControlPlane::wallMs() const
{
    return static_cast<std::uint64_t>(m_dependencies.clock.wallNow().time_since_epoch().count());
}

bool ControlPlane::isRoot() const
{
    return m_plan.isWatcher && m_plan.selection.parent(m_settings.instanceId).empty();
}

} // namespace Samphirepitch
