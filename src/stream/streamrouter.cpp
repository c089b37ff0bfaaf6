#include "stream/streamrouter.h"

#include "loadreport/loadreporter.h"

#include <cmath>
#include <utility>

namespace Samphirepitch
{

namespace
{

// Flows and servers expire after several seconds, so checking once per second is precise enough.
constexpr std::chrono::seconds expiryInterval { 1 };

// The usable slots of a service change when servers fail, which takes about this long to detect. Counting them and the instances takes time
// in proportion to their number.
constexpr std::chrono::milliseconds slotCountInterval { 200 };

// Used until a configuration sets another value.
constexpr std::chrono::seconds defaultIdleTimeout { 15 };

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

} // namespace

StreamRouter::StreamRouter(Dependencies dependencies, std::string failureDomain, std::size_t maxFlows)
    : m_clock(dependencies.clock)
    , m_events(dependencies.events)
    , m_observer(dependencies.observer)
    , m_view(dependencies.clock, dependencies.events)
    , m_flows(maxFlows)
    , m_unroutedFlows(maxFlows)
    , m_lifecycle({ dependencies.clock, dependencies.random, dependencies.events, m_view, m_flows, m_counters }, failureDomain)
    , m_evacuationPolicy(m_view.evacuations())
    , m_coldShares(dependencies.clock.now())
    , m_placement({ dependencies.clock, dependencies.random, dependencies.events, dependencies.selector, m_view.directory(),
                      m_lifecycle.failureDetector(), m_lifecycle.latencyTracker(), m_flows, { &m_evacuationPolicy, &m_coldShares } },
          std::move(failureDomain))
    , m_admission({ dependencies.clock, dependencies.events })
{
}

StreamDecision StreamRouter::route(const StreamPacket &packet)
{
    // Without a complete view, an unknown route or server may still exist. Clients retransmit until the view is complete.
    if (!isReady() || (packet.opens && m_view.mayLackEvacuations())) {
        return drop(packet, StreamOutcome::NotReady);
    }
    const StreamRoute *const route = m_view.configuration().find(packet.service);
    if (route == nullptr) {
        return routeUnrouted(packet);
    }
    return packet.opens ? routeOpening(packet, *route) : routeSubsequent(packet, *route);
}

StreamDecision StreamRouter::routeUnrouted(const StreamPacket &packet)
{
    if (packet.opens || packet.resets) {
        m_unroutedFlows.remove(packet.client, packet.service);
        return refuse(packet, StreamOutcome::NoRoute);
    }
    const StreamFlow *const flow = m_unroutedFlows.record(packet, m_clock.now());
    const bool hasEnded = flow != nullptr && flow->ended;
    return hasEnded ? refuse(packet, StreamOutcome::RouteRemoved) : drop(packet, StreamOutcome::NoRoute);
}

StreamDecision StreamRouter::routeOpening(const StreamPacket &packet, const StreamRoute &route)
{
    const StreamFlow *const flow = m_flows.find(packet.client, packet.service);
    if (flow == nullptr) {
        return place(packet, route, false);
    }
    if (flow->ended || !FlowTracker::mayOpen(packet, *flow, m_clock.now())) {
        m_flows.remove(packet.client, packet.service); // the client reuses the port
        return place(packet, route, false);
    }
    const DirectoryRecord *const record = m_view.directory().findToken(flow->token);
    if (!flow->open) {
        // A client waits longer before it retransmits, so the network has duplicated the packet or this process has read it late.
        const bool isReadAtOnce = m_clock.now() < flow->lastSentAt + FlowTracker::minRetransmissionInterval;
        const bool mayServe = record != nullptr && m_lifecycle.failureDetector().status(record->token, m_clock.now()) != ServerStatus::Gone;
        return isReadAtOnce && mayServe ? forwardCopy(packet, route, *record) : place(packet, route, true);
    }
    // A delayed copy of an opening packet doesn't move the flow.
    return record == nullptr ? drop(packet, StreamOutcome::UnknownToken) : forwardCopy(packet, route, *record);
}

StreamDecision StreamRouter::forwardCopy(const StreamPacket &packet, const StreamRoute &route, const DirectoryRecord &record)
{
    // For the server, the copy may be the first packet of the flow.
    const bool isEvacuated
        = m_evacuationPolicy.judge(record, { &route, record.server.service }, m_clock.now()) != PlacementVerdict::Allowed;
    return isEvacuated ? drop(packet, StreamOutcome::Evacuated) : forward(record, StreamOutcome::Known);
}

StreamDecision StreamRouter::place(const StreamPacket &packet, const StreamRoute &route, bool isRetransmission)
{
    std::uint32_t excludedToken = 0;
    if (isRetransmission) {
        excludedToken = m_flows.find(packet.client, packet.service)->token;
        if (const DirectoryRecord *const record = m_view.directory().findToken(excludedToken); record != nullptr) {
            if (m_lifecycle.failureDetector().recordRetransmission(excludedToken, m_clock.now())) {
                m_lifecycle.logServerStatus(*record, "opening_packet_repeated");
            }
        }
    }
    if (const auto unopenedServer = isRetransmission ? std::nullopt : m_flows.previousUnopenedServer(packet, m_clock.now())) {
        excludedToken = *unopenedServer;
        m_lifecycle.failureDetector().requestProbe(excludedToken);
    }
    if (route.targets.empty()) {
        m_flows.remove(packet.client, packet.service);
        return refuse(packet, StreamOutcome::NoServer);
    }
    const NewFlow flow { &route, m_placement.targetService(route) };
    const std::string &service = flow.service;
    if (!m_view.evacuations().isEmpty() && m_placement.isForbiddenEverywhere(m_evacuationPolicy, flow, m_view.confirmationGapEnd())) {
        m_flows.remove(packet.client, packet.service);
        m_admission.recordEnd(packet.client, packet.service);
        return refuse(packet, StreamOutcome::Evacuated);
    }
    const FlowAdmission::Verdict verdict
        = m_admission.decide({ packet.client, packet.service, &route, service, 0, true, ServerUse::Usable });
    if (verdict == FlowAdmission::Verdict::Hold) {
        return hold();
    }
    if (verdict == FlowAdmission::Verdict::Refuse) {
        m_flows.remove(packet.client, packet.service);
        return refuse(packet, StreamOutcome::NoRoom);
    }
    const std::optional<FlowPlacement::Choice> choice = m_placement.choose(flow, excludedToken, m_view.confirmationGapEnd());
    if (!choice) {
        m_flows.remove(packet.client, packet.service);
        m_admission.recordEnd(packet.client, packet.service);
        if (!m_placement.isRestrictedBy(m_coldShares, flow)) {
            return refuse(packet, StreamOutcome::NoServer);
        }
        m_coldShares.recordRefusal();
        return refuse(packet, StreamOutcome::ColdLimit);
    }
    const DirectoryRecord *const record = choice->record;
    m_flows.recordOpening(packet, record->token, m_clock.now());
    m_placement.recordPlacement(*record, flow);
    m_observer.recordViewAges(m_view.serversAge().age(m_clock.now()), m_view.configurationAge().age(m_clock.now()));
    logFlowEvent(EventSeverity::Info, isRetransmission ? "flow_placed_again" : "flow_placed", packet,
        { { "route", route.name }, { "service_name", service }, { "server", record->server.id },
            { "address", record->server.address.toString() }, { "domain", record->server.failureDomain },
            { "standing", std::string(serverStatusName(m_lifecycle.failureDetector().status(record->token, m_clock.now()))) },
            { "flows", number(choice->candidate.flows) }, { "awaiting", number(choice->candidate.awaitingResponse) },
            { "pace_percent", number(std::lround(choice->candidate.slowdown * 100)) },
            { "candidates", number(m_view.directory().listed(service).size()) } });
    return forward(*record, isRetransmission ? StreamOutcome::PlacedAgain : StreamOutcome::Placed);
}

StreamDecision StreamRouter::routeSubsequent(const StreamPacket &packet, const StreamRoute &route)
{
    std::uint32_t token = packet.token;
    if (token == 0) {
        const StreamFlow *const flow = m_flows.find(packet.client, packet.service);
        if (flow == nullptr) {
            return drop(packet, StreamOutcome::NoToken);
        }
        token = flow->token;
    }
    const DirectoryRecord *const record = m_view.directory().findToken(token);
    if (record == nullptr) {
        return drop(packet, StreamOutcome::UnknownToken);
    }
    token = record->token;
    if (const auto reason = m_lifecycle.resetReason(packet, route, token)) {
        return refuse(packet, *reason);
    }
    if (packet.resets) {
        m_flows.remove(packet.client, packet.service);
        m_admission.recordEnd(packet.client, packet.service);
        return forward(*record, StreamOutcome::Known);
    }
    // Data and the end of a flow must not overtake data that is held.
    const bool hasOrder = packet.length > 0 || packet.finishes;
    if (hasOrder && m_admission.isHeld(packet.client, packet.service)) {
        return hold();
    }
    if (m_flows.beginsRequest(packet, token)) {
        const FlowAdmission::Verdict verdict = m_admission.decide(
            { packet.client, packet.service, &route, record->server.service, token, false, m_placement.serverUse(token) });
        if (verdict == FlowAdmission::Verdict::Hold) {
            return hold();
        }
        if (verdict == FlowAdmission::Verdict::Refuse) {
            return drop(packet, StreamOutcome::NoRoom); // an open flow is not reset; its client sends the data again
        }
    }
    trackPacket(packet, token);
    return forward(*record, StreamOutcome::Known);
}

StreamDecision StreamRouter::refuse(const StreamPacket &packet, StreamOutcome outcome)
{
    // A reset never causes another reset.
    if (packet.resets) {
        return drop(packet, outcome);
    }
    m_counters.count(outcome);
    std::vector<EventField> fields { { "reason", std::string(streamOutcomeName(outcome)) } };
    if (!packet.opens) {
        const StreamFlow *const flow = m_flows.find(packet.client, packet.service);
        m_lifecycle.appendResetEvidence(packet.token, flow != nullptr && flow->open ? flow->openSince : TimePoint(), fields);
    }
    logFlowEvent(EventSeverity::Warning, "flow_reset", packet, std::move(fields));
    return { .action = StreamDecision::Action::Reset, .outcome = outcome };
}

StreamDecision StreamRouter::drop(const StreamPacket &packet, StreamOutcome outcome)
{
    m_counters.count(outcome);
    logFlowEvent(EventSeverity::Warning, "packet_dropped", packet,
        { { "reason", std::string(streamOutcomeName(outcome)) }, { "token", number(packet.token) } });
    return { .action = StreamDecision::Action::Drop, .outcome = outcome };
}

StreamDecision StreamRouter::hold()
{
    m_counters.count(StreamOutcome::Held);
    return { .action = StreamDecision::Action::Hold, .outcome = StreamOutcome::Held };
}

StreamDecision StreamRouter::forward(const DirectoryRecord &record, StreamOutcome outcome)
{
    m_counters.count(outcome);
    return { .action = StreamDecision::Action::Forward, .outcome = outcome, .server = &record.server, .token = record.token };
}

void StreamRouter::trackPacket(const StreamPacket &packet, std::uint32_t token)
{
    const TimePoint now = m_clock.now();
    const StreamFlow *const flow = m_flows.find(packet.client, packet.service);
    const bool isKnown = flow != nullptr && flow->open && !FlowTracker::isOfLaterFlow(packet, token, *flow);
    if (isKnown && m_view.directory().findToken(flow->token) != m_view.directory().findToken(token)) {
        ++m_serverChanges;
        logFlowEvent(
            EventSeverity::Warning, "flow_server_changed", packet, { { "before", number(flow->token) }, { "token", number(token) } });
    }
    const TimePoint placedAt = flow == nullptr ? now : flow->sentAt;
    const PacketObservation observation = m_flows.recordPacket(packet, token, now);
    m_lifecycle.failureDetector().recordForwardedPacket(token); // the next probe decides whether this flow is reset
    if (observation.opened) {
        m_observer.recordOpeningTime(now - placedAt);
        m_admission.recordOpened(packet.client, packet.service, now - placedAt);
    }
    if (observation.responseTime) {
        m_admission.recordResponse(packet.client, packet.service, *observation.responseTime);
        m_observer.recordResponseTime(*observation.responseTime);
        m_lifecycle.latencyTracker().recordResponse(token, *observation.responseTime, now);
        if (m_loadReporter != nullptr) {
            m_loadReporter->recordResponse(m_view.directory().findToken(token)->server.service, token, *observation.responseTime, now);
        }
        m_lifecycle.recordLiveness(token, now - *observation.responseTime);
    }
    if (packet.length > 0) {
        m_admission.recordRequest(packet.client, packet.service, token);
    }
    if (observation.serverResponded) {
        m_lifecycle.failureDetector().recordResponse(token, now);
    } else if (observation.retransmitted && m_lifecycle.failureDetector().recordRetransmission(token, now)) {
        m_lifecycle.logServerStatus(*m_view.directory().findToken(token), "data_repeated");
        m_lifecycle.resetFlowsOfSilentServer(token);
    }
}

void StreamRouter::recordUnreadable(std::size_t size)
{
    m_counters.count(StreamOutcome::Unreadable);
    m_events.record(EventSeverity::Warning, "datagram_unreadable", { { "bytes", number(size) } });
}

void StreamRouter::tick()
{
    const TimePoint now = m_clock.now();
    m_view.recordTick();
    m_coldShares.tick(now);
    m_flows.checkOverdue(now, [this, now](std::uint32_t token) {
        m_lifecycle.failureDetector().requestProbe(token);
        m_lifecycle.latencyTracker().recordOverdueResponse(token, now);
        if (m_loadReporter != nullptr) {
            m_loadReporter->recordOverdueResponse(token, now);
        }
    });
    tickAdmission();
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + expiryInterval;
    const auto idleTimeout = m_view.configuration().idleTimeout.count() > 0 ? m_view.configuration().idleTimeout : defaultIdleTimeout;
    m_flows.expire(now, idleTimeout);
    m_unroutedFlows.expire(now, idleTimeout);
    m_view.evacuations().expire();
    m_lifecycle.expire();
    forgetServers();
}

void StreamRouter::logFlowEvent(EventSeverity severity, std::string_view name, const StreamPacket &packet, std::vector<EventField> fields)
{
    m_view.recordFlowEvent(severity, name, packet.client, packet.service, std::move(fields));
}

void StreamRouter::writeMetrics(MetricWriter &writer) const
{
    for (std::size_t index = 0; index < streamOutcomeCount; ++index) {
        const auto outcome = static_cast<StreamOutcome>(index);
        writer.counter("samphirepitch_stream_packets_total", "Packets of stream flows, and resets of open flows, by outcome.",
            { { "outcome", streamOutcomeName(outcome) } }, m_counters.of(outcome));
    }
    writer.counter("samphirepitch_flow_server_changes_total",
        "Packets of open flows whose token names another server than the packet before.", {}, m_serverChanges);
    writer.gauge("samphirepitch_stream_flows", "Flows that this instance tracks.", {}, static_cast<double>(m_flows.size()));
    writer.gauge("samphirepitch_stream_flows_unrouted", "Flows for whose packets the configuration in force has no route.", {},
        static_cast<double>(m_unroutedFlows.size()));
    writer.gauge("samphirepitch_servers_slow", "Backend servers that respond much later than others.", {},
        static_cast<double>(m_placement.slowCount()));
    m_view.writeMetrics(writer);
    m_admission.writeMetrics(writer);
    m_coldShares.writeMetrics(writer);
}

bool StreamRouter::applyConfiguration(StreamConfiguration configuration)
{
    const std::optional<DirectoryChanges> changes = m_view.applyConfiguration(std::move(configuration));
    if (!changes) {
        return false;
    }
    applyChanges(*changes);
    // Without reports, an instance can't tell a shortage of a service from a moment of its own.
    if (m_loadView != nullptr) {
        m_admission.applyConfiguration(m_view.configuration());
    }
    m_coldShares.applyConfiguration(m_view.configuration());
    m_unroutedFlows.removeRouted(m_view.configuration());
    const auto hasNoRoute = [this](const StreamFlow &flow) { return m_view.configuration().find(flow.service) == nullptr; };
    for (const StreamFlow &flow : m_flows.removeMatching(hasNoRoute, m_clock.now())) {
        m_admission.recordEnd(flow.client, flow.service);
        m_unroutedFlows.add(flow);
    }
    endUnroutedFlows();
    return true;
}

void StreamRouter::recordUnreadableConfiguration(StorePosition position)
{
    StreamConfiguration configuration = m_view.configuration();
    if (!configuration.position.isUnset()) {
        configuration.position = position;
        configuration.hasUnreadableRoutes = true;
        applyConfiguration(std::move(configuration));
    }
}

void StreamRouter::endUnroutedFlows()
{
    m_lifecycle.resetAll(m_unroutedFlows.endOpenAt(m_view.routeRemovalsProvenUntil(), m_clock.now()), StreamOutcome::RouteRemoved);
}

void StreamRouter::replaceServers(
    const std::vector<StreamServer> &servers, const std::vector<std::string> &unreadable, StorePosition position, TimePoint confirmedAt)
{
    // The changes are judged by the confirmations before this list.
    if (const auto changes = m_view.replaceServers(servers, unreadable, position)) {
        applyChanges(*changes);
        m_view.confirmServers(confirmedAt);
    }
}

void StreamRouter::applyServerUpdates(const ServerUpdates &updates, TimePoint confirmedAt)
{
    if (const auto changes = m_view.applyServerUpdates(updates)) {
        applyChanges(*changes);
        m_view.confirmServers(confirmedAt);
    }
}

void StreamRouter::updateServer(const StreamServer &server)
{
    applyChanges(m_view.directory().update(server));
}

void StreamRouter::removeServer(const std::string &id, StorePosition position)
{
    applyChanges(m_view.directory().remove(id, position, m_clock.now()));
}

void StreamRouter::applyChanges(const DirectoryChanges &changes)
{
    m_lifecycle.applyChanges(changes);
    forgetServers();
}

void StreamRouter::forgetServers()
{
    for (const std::uint32_t token : m_lifecycle.takeForgotten()) {
        m_placement.forget(token);
    }
}

void StreamRouter::confirmConfiguration(StorePosition position, TimePoint time)
{
    m_view.confirmConfiguration(position, time);
    endUnroutedFlows();
}

std::vector<EndedServer> StreamRouter::takeEndedServers()
{
    return m_lifecycle.takeEndedServers();
}

std::vector<ProbeTarget> StreamRouter::takeDueProbes(std::size_t maxCount)
{
    return m_lifecycle.takeDueProbes(maxCount);
}

void StreamRouter::recordProbeResult(std::uint32_t token, ConnectResult result, TimePoint probeStart)
{
    m_lifecycle.recordProbeResult(token, result, probeStart);
}

void StreamRouter::handleEndedServer(const EndedServer &ended)
{
    m_lifecycle.handleEndedServer(ended);
}

std::vector<StreamReset> StreamRouter::takeResets()
{
    std::vector<StreamReset> resets = m_lifecycle.takeResets();
    for (const StreamReset &reset : resets) {
        m_admission.recordEnd(reset.client, reset.service);
    }
    return resets;
}

std::vector<HeldResolution> StreamRouter::takeResolvedRequests()
{
    std::vector<HeldResolution> resolved = m_admission.takeResolved();
    for (const HeldResolution &resolution : resolved) {
        if (resolution.kind == HeldResolution::Kind::Refuse) {
            m_counters.count(StreamOutcome::NoRoom);
        }
    }
    return resolved;
}

bool StreamRouter::holdsRequests() const
{
    return m_admission.holdsAny();
}

void StreamRouter::useRoster(const InstanceRoster &roster)
{
    m_roster = &roster;
    m_coldShares.useRoster(roster);
}

void StreamRouter::useLoadView(const LoadView &loadView)
{
    m_loadView = &loadView;
}

void StreamRouter::tickAdmission()
{
    const TimePoint now = m_clock.now();
    if (now >= m_nextSlotCount) {
        m_nextSlotCount = now + slotCountInterval;
        m_instanceCount = m_roster == nullptr ? 1 : m_roster->aliveCount(now);
        for (const std::string &service : m_admission.services()) {
            m_admission.setUsableSlots(service, m_placement.usableSlots(service, m_view.confirmationGapEnd()));
        }
    }
    m_admission.tick(m_instanceCount, m_loadView, [this](std::uint32_t token) { return m_placement.serverUse(token); });
}

} // namespace Samphirepitch
