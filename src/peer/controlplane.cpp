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

Result<void> checkText(const char *field, const std::string &value)
{
    if (value.empty() || value.size() > MessageLimits::id) {
        return failure(ErrorKind::InvalidArgument, field, "1..128 bytes are allowed");
    }
    return {};
}

Result<void> check(const ControlPlaneSettings &settings)
{
    for (const auto &[field, value] : { std::pair("deployment", &settings.deployment), std::pair("instance id", &settings.instanceId),
             std::pair("failure domain", &settings.failureDomain) }) {
        if (const Result<void> checked = checkText(field, *value); !checked) {
            return checked;
        }
    }
    if (settings.seeds.size() > maxSeeds) {
        return failure(ErrorKind::InvalidArgument, "seeds", "at most 16 are allowed");
    }
    return {};
}

Member::Fields selfOf(const ControlPlaneSettings &settings)
{
    return { settings.instanceId, settings.failureDomain, settings.peerAddress, settings.dataAddress, settings.incarnation,
        MemberState::Alive };
}

/** A report without its times, which change all the time. */
GenerationReport withoutTimes(GenerationReport report)
{
    for (InstanceStatus &instance : report.instances) {
        instance.lastHeardMs = 0;
    }
    return report;
}

} // namespace

Result<std::unique_ptr<ControlPlane>> ControlPlane::create(
    const asio::any_io_executor &executor, ControlPlaneSettings settings, ControlPlaneParts parts)
{
    if (const Result<void> checked = check(settings); !checked) {
        return tl::unexpected<Error>(checked.error());
    }
    // The port is known only after listening, and the membership needs it for this instance's own entry.
    std::unique_ptr<ControlPlane> plane(new ControlPlane(executor, std::move(settings), std::move(parts)));
    const LinkContext context { *plane, plane->m_parts.clock, plane->m_parts.events, plane->m_counters };
    Result<std::unique_ptr<PeerServer>> server = PeerServer::create(executor, plane->m_settings.peerAddress, context);
    if (!server) {
        return tl::unexpected<Error>(server.error());
    }
    plane->m_server = std::move(*server);
    plane->m_settings.peerAddress = Endpoint(plane->m_settings.peerAddress.address(), plane->m_server->address().port());
    plane->m_membership = Membership(selfOf(plane->m_settings), plane->m_parts.clock.now());
    plane->m_dialer = std::make_unique<PeerDialer>(
        *plane->m_server, plane->m_membership, plane->m_links, plane->m_parts.random, plane->m_settings.seeds);
    plane->updatePlan();
    return plane;
}

ControlPlane::ControlPlane(const asio::any_io_executor &executor, ControlPlaneSettings settings, ControlPlaneParts parts)
    : m_executor(executor)
    , m_settings(std::move(settings))
    , m_parts(std::move(parts))
    , m_membership(selfOf(m_settings), m_parts.clock.now())
    , m_links(m_settings.instanceId)
    , m_distributor(m_store, m_links, m_parts.events, m_parts.configListeners)
    , m_progress(m_settings.instanceId)
    , m_plan { nullptr, WatcherSelection(MemberView(), {}), {} }
    , m_headWatcher({ m_parts.platform, *this, m_parts.clock, m_parts.random, m_parts.events }, m_distributor, m_store)
    , m_listReader({ m_parts.platform, *this, m_parts.clock, m_parts.random, m_parts.events })
    , m_statusWriter({ m_parts.platform, *this, m_parts.clock, m_parts.random, m_parts.events })
    , m_tasksEnded(executor, asio::steady_timer::time_point::max())
    , m_progressTimer(executor)
    , m_startDeadline(m_parts.clock.now())
    , m_contactAt(m_parts.clock.now())
    , m_contactDelay(m_parts.random.below(contactJitter.count()))
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
    spawn(m_listReader.run());
    spawn(m_statusWriter.run());
    co_await m_server->run();
    while (m_tasks > 0) {
        co_await m_tasksEnded.async_wait(token);
    }
}

void ControlPlane::stop()
{
    if (!std::exchange(m_stopped, true)) {
        m_server->stop();
        m_progressTimer.cancel();
        for (asio::cancellation_signal &signal : m_signals) {
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

void ControlPlane::spreadServerStates(const ServerStates &states)
{
    for (std::size_t first = 0; first < states.states.size(); first += MessageLimits::serverStates) {
        const std::size_t last = std::min(first + MessageLimits::serverStates, states.states.size());
        const ServerStates chunk { { states.states.begin() + static_cast<std::ptrdiff_t>(first),
            states.states.begin() + static_cast<std::ptrdiff_t>(last) } };
        const ServerStates news = m_serverStates.accept(chunk);
        if (!news.states.empty()) {
            m_links.broadcast(news);
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
    Waiting &waiting = m_waiting.emplace(instance, Waiting { {}, m_parts.clock.now() + deliveryTimeout }).first->second;
    if (waiting.messages.size() >= maxWaitingMessages) {
        ++m_undelivered;
        return false;
    }
    waiting.messages.emplace_back(std::move(exceptions));
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

TimePoint ControlPlane::lapseDeadline() const
{
    return m_membership.lapseDeadline();
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
    for (const DomainProgress &progress : m_board.all()) {
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
    gauge("samphirepitch_peer_links", "Ready links to instances", m_links.size());
    gauge("samphirepitch_members", "Members of the view", m_plan.view->members().size());
    gauge("samphirepitch_generation_held", "Highest complete generation", held().generation);
    gauge("samphirepitch_generation_prepared_everywhere", "Generation that all reachable instances are prepared for", m_preparedEverywhere);
    gauge("samphirepitch_config_store_bytes", "Bytes of the held parts", m_store.bytes());
    gauge("samphirepitch_watches_platform", "1 if this instance watches the platform", watchesPlatform(m_parts.clock.now()) ? 1 : 0);
    writer.counter(
        "samphirepitch_parts_refused_total", "Parts that were not asked for or had another name", {}, m_distributor.refusedParts());
    writer.counter("samphirepitch_members_refused_total", "Members above the limit", {}, m_membership.refusedCount());
    writer.counter("samphirepitch_clock_clamped_total", "Messages from clocks too far ahead", {}, m_parts.hybridClock.clampedCount());
    writer.counter("samphirepitch_platform_restored_total", "Generations written back to the platform", {}, m_headWatcher.restoredCount());
    writer.counter("samphirepitch_peer_undelivered_total", "Messages to instances that could not be linked", {}, m_undelivered);
}

Hello ControlPlane::localHello() const
{
    const Member::Fields &self = m_membership.self();
    return { Hello::currentVersion, self.id, self.incarnation, self.failureDomain, m_settings.deployment, held().generation,
        self.peerAddress, self.dataAddress };
}

HybridTime ControlPlane::sendTime()
{
    return m_parts.hybridClock.tick(m_parts.clock.wallNow());
}

void ControlPlane::observeTime(HybridTime at)
{
    m_parts.hybridClock.observe(at, m_parts.clock.wallNow());
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
    const TimePoint now = m_parts.clock.now();
    m_startDeadline = std::min(m_startDeadline, now + syncTime);
    m_membership.linkUp(
        { peer.instanceId, peer.failureDomain, peer.peerAddress, peer.dataAddress, peer.incarnation, MemberState::Alive }, now);
    m_distributor.linkUp(peer.instanceId);
    sendAllMembers(*link);
    for (const ServerStates &states : m_serverStates.unhealthy()) {
        link->send(states);
    }
    link->send(heartbeat(now, m_board.all()));
    deliverWaiting(peer.instanceId);
    m_nextReport = now; // a new parent has no report yet
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
    const bool known = std::visit(
        [this, &link](auto &typed) {
            if constexpr (requires { handle(link, typed); }) {
                handle(link, typed);
                return true;
            }
            return false;
        },
        message);
    scheduleFlush();
    return known;
}

void ControlPlane::linkDown(PeerLink &link, const Error &reason)
{
    if (link.isClient() || !m_links.remove(link) || m_stopped) {
        return;
    }
    const std::string &peer = link.peer().instanceId;
    const TimePoint now = m_parts.clock.now();
    m_parts.events.record(EventSeverity::Info, "peer_link_closed",
        { { "peer", peer }, { "kind", std::string(errorKindName(reason.kind())) }, { "detail", reason.detail() } });
    m_membership.linkDown(peer, now);
    m_progress.forget(peer);
    m_distributor.linkDown(peer, now);
    scheduleFlush();
}

void ControlPlane::dialFailed(Endpoint address, const Error &)
{
    m_dialer->dialFailed(address, m_parts.clock.now());
    scheduleFlush();
}

bool ControlPlane::watchesPlatform(TimePoint now) const
{
    if (now < m_startDeadline) {
        return false;
    }
    return m_plan.isWatcher || now >= m_contactAt + contactDeadline + m_contactDelay;
}

std::chrono::milliseconds ControlPlane::listInterval() const
{
    return std::max(minListInterval, listIntervalPerMember * static_cast<std::int64_t>(m_plan.view->members().size()));
}

std::optional<DomainStatus> ControlPlane::statusToWrite() const
{
    if (!isRoot() || m_parts.clock.now() < m_startDeadline) {
        return std::nullopt;
    }
    return ownStatus();
}

void ControlPlane::platformAnswered(TimePoint now)
{
    m_membership.platformContact(now);
    noteContact(now);
}

void ControlPlane::listRead(const std::vector<ListedInstance> &list, TimePoint now)
{
    m_membership.listRead(list, now);
    scheduleFlush();
}

void ControlPlane::handle(PeerLink &link, Heartbeat &message)
{
    const std::string &peer = link.peer().instanceId;
    const TimePoint now = m_parts.clock.now();
    m_membership.apply(message.events, now);
    m_membership.heartbeat(peer, message.incarnation, now);
    m_distributor.peerHolds(peer, message.held);
    const std::uint64_t longest = std::chrono::milliseconds(std::chrono::hours(24)).count();
    noteContact(now - std::chrono::milliseconds(std::min(message.platformContactAgeMs, longest)));
    for (const DomainProgress &progress : message.progress) {
        m_board.update(progress);
    }
}

void ControlPlane::handle(PeerLink &link, Announce &message)
{
    m_distributor.announced(link.peer().instanceId, message.head, m_parts.clock.now());
}

void ControlPlane::handle(PeerLink &link, PartRequest &message)
{
    m_distributor.partsRequested(link.peer().instanceId, message.names);
}

void ControlPlane::handle(PeerLink &link, PartReply &message)
{
    m_distributor.partReceived(link.peer().instanceId, std::move(message), m_parts.clock.now());
}

void ControlPlane::handle(PeerLink &, MemberEvents &message)
{
    m_membership.apply(message.events, m_parts.clock.now());
}

void ControlPlane::handle(PeerLink &, ServerStates &message)
{
    const ServerStates news = m_serverStates.accept(message);
    if (news.states.empty()) {
        return;
    }
    m_links.broadcast(news);
    for (PeerListener *listener : m_parts.peerListeners) {
        listener->serverStatesChanged(news);
    }
}

void ControlPlane::handle(PeerLink &link, FlowExceptionBatch &message)
{
    for (PeerListener *listener : m_parts.peerListeners) {
        listener->flowExceptionsReceived(link.peer().instanceId, message);
    }
    link.send(FlowExceptionAck { message.sequence });
}

void ControlPlane::handle(PeerLink &link, FlowExceptionAck &message)
{
    for (PeerListener *listener : m_parts.peerListeners) {
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
        m_progress.report(link.peer().instanceId, std::move(message), m_parts.clock.now());
    }
}

bool ControlPlane::answerQuery(PeerLink &link, const Message &message)
{
    if (std::holds_alternative<StatusQuery>(message)) {
        link.send(StatusReply { statuses() });
    } else if (const auto *query = std::get_if<EventsQuery>(&message)) {
        link.send(EventsReply { m_parts.eventSource.eventsAfter(query->afterSequence, MessageLimits::events) });
    } else if (std::holds_alternative<DrainRequest>(message)) {
        link.send(DrainReply { m_parts.drainHandler.drainRequested() });
    } else {
        return false;
    }
    return true;
}

void ControlPlane::spawn(asio::awaitable<void> task)
{
    ++m_tasks;
    m_signals.emplace_back();
    const auto ended = [this, alive = std::weak_ptr<bool>(m_alive)](const std::exception_ptr &error) {
        if (alive.expired()) {
            return;
        }
        if (error && !m_stopped) {
            m_parts.events.record(EventSeverity::Error, "control_task_failed", {});
        }
        --m_tasks;
        m_tasksEnded.cancel();
    };
    asio::co_spawn(m_executor, std::move(task), asio::bind_cancellation_slot(m_signals.back().slot(), ended));
}

asio::awaitable<void> ControlPlane::tickLoop()
{
    asio::steady_timer timer(m_executor);
    for (;;) {
        tick(m_parts.clock.now());
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void ControlPlane::tick(TimePoint now)
{
    m_server->advance(now);
    m_membership.advance(now);
    m_distributor.advance(now);
    m_serverStates.prune(wallMs());
    dropWaiting(now);
    updatePlan();
    m_dialer->advance(m_plan.targets, now);
    m_links.closeUnwanted(m_plan.targets, now);
    flush(now);
    if (now >= m_heartbeatAt + PeerLink::heartbeatInterval) {
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
    // Messages that were read together share one flush.
    asio::post(m_executor, [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired()) {
            m_flushScheduled = false;
            flush(m_parts.clock.now());
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
    if (m_board.hasChanges()) {
        sendProgress(now);
    }
}

void ControlPlane::sendProgress(TimePoint now)
{
    const TimePoint allowed = m_heartbeatAt + progressInterval;
    if (now >= allowed) {
        broadcastHeartbeat(now, false);
    } else if (!std::exchange(m_progressScheduled, true)) {
        m_progressTimer.expires_after(allowed - now);
        m_progressTimer.async_wait([this, alive = std::weak_ptr<bool>(m_alive)](const asio::error_code &) {
            if (!alive.expired()) {
                m_progressScheduled = false;
                flush(m_parts.clock.now());
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
    for (MemberListener *listener : m_parts.memberListeners) {
        listener->memberViewChanged(view);
    }
}

void ControlPlane::updateProgress(TimePoint now)
{
    const Member::Fields &self = m_membership.self();
    m_progress.setOwn({ self.id, self.state, held().generation, m_parts.generations.activeGeneration(), wallMs() },
        m_parts.generations.preparedGeneration());
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
    const GenerationReport compared = withoutTimes(report);
    if (compared == m_lastReport && parent == m_lastParent && now < m_nextReport) {
        return;
    }
    if (m_links.send(parent, report)) {
        m_lastReport = compared;
        m_lastParent = parent;
        m_nextReport = now + refreshInterval;
    }
}

void ControlPlane::publishProgress(const GenerationReport &report, TimePoint now)
{
    // Without the reports of all members nobody may conclude that they are prepared.
    const bool complete = isComplete(report);
    const DomainProgress progress { m_settings.failureDomain, complete ? report.lowestPrepared : 0, complete ? report.lowestActive : 0,
        wallMs() };
    const GenerationReport compared = withoutTimes(report);
    m_board.update(progress);
    const bool due = compared != m_lastReport ? now >= m_statusAt + minStatusInterval : now >= m_statusAt + refreshInterval;
    if (due) {
        m_lastReport = compared;
        m_statusAt = now;
        m_links.broadcast(StatusReply { { ownStatus() } });
    }
}

void ControlPlane::notifyPrepared()
{
    const std::uint64_t lowest = m_board.lowestPrepared(*m_plan.view);
    if (lowest > m_preparedEverywhere) {
        m_preparedEverywhere = lowest;
        for (PeerListener *listener : m_parts.peerListeners) {
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
    m_heartbeatAt = now;
    std::vector<DomainProgress> progress = m_board.takeChanges();
    if (full) {
        progress = m_board.all();
    }
    m_links.broadcast(heartbeat(now, std::move(progress)));
}

Heartbeat ControlPlane::heartbeat(TimePoint now, std::vector<DomainProgress> progress) const
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_contactAt);
    return { m_membership.self().incarnation, held().generation, m_parts.generations.preparedGeneration(),
        m_parts.generations.activeGeneration(), static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count())), {},
        std::move(progress) };
}

void ControlPlane::noteContact(TimePoint contactAt)
{
    if (contactAt > m_contactAt) {
        m_contactAt = contactAt;
        m_contactDelay = std::chrono::milliseconds(m_parts.random.below(contactJitter.count()));
    }
}

void ControlPlane::deliverWaiting(const std::string &peer)
{
    const auto found = m_waiting.find(peer);
    if (found != m_waiting.end()) {
        for (const Message &message : found->second.messages) {
            m_links.send(peer, message);
        }
        m_waiting.erase(found);
    }
}

void ControlPlane::dropWaiting(TimePoint now)
{
    for (auto next = m_waiting.begin(); next != m_waiting.end();) {
        const auto current = next++;
        if (now >= current->second.deadline) {
            m_undelivered += current->second.messages.size();
            m_waiting.erase(current);
        }
    }
}

GenerationReport ControlPlane::combinedReport(TimePoint now) const
{
    return m_progress.combined(m_plan.selection, m_plan.domainSize, now);
}

DomainStatus ControlPlane::ownStatus() const
{
    const GenerationReport report = combinedReport(m_parts.clock.now());
    DomainStatus status { m_settings.failureDomain, m_settings.instanceId, wallMs(), report.highestHeld, report.lowestActive, report.count,
        static_cast<std::uint32_t>(m_plan.domainSize), report.instances };
    std::set<std::string> named;
    for (InstanceStatus &instance : status.instances) {
        const Member *member = m_plan.view->member(instance.id);
        instance.state = member ? member->state() : instance.state;
        named.insert(instance.id);
    }
    const TimePoint now = m_parts.clock.now();
    for (const Member &member : m_plan.view->members()) {
        const bool unseen = member.failureDomain() == m_settings.failureDomain && !named.contains(member.id());
        if (unseen && m_plan.domainSize <= ProgressTree::namedSize && status.instances.size() < MessageLimits::statusInstances) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_membership.lastHeard(member.id()));
            status.instances.push_back({ member.id(), member.state(), 0, 0, wallMs() - static_cast<std::uint64_t>(age.count()) });
        }
    }
    return status;
}

bool ControlPlane::isComplete(const GenerationReport &report) const
{
    if (m_plan.domainSize > ProgressTree::namedSize) {
        return report.count >= m_plan.domainSize;
    }
    // While the tree changes, a report can be counted twice or name an instance that is gone, so the names decide.
    std::set<std::string_view> named;
    for (const InstanceStatus &instance : report.instances) {
        named.insert(instance.id);
    }
    return std::all_of(m_plan.view->members().begin(), m_plan.view->members().end(), [&](const Member &member) {
        return member.failureDomain() != m_settings.failureDomain || member.state() == MemberState::Dead || named.contains(member.id());
    });
}

std::uint64_t ControlPlane::wallMs() const
{
    return static_cast<std::uint64_t>(m_parts.clock.wallNow().time_since_epoch().count());
}

bool ControlPlane::isRoot() const
{
    return m_plan.isWatcher && m_plan.selection.parent(m_settings.instanceId).empty();
}

} // namespace Samphirepitch
