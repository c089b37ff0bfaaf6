#include "stream/streamrouter.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Samphirepitch
{

namespace
{

// Flows and servers expire after several seconds, so checking once per second is precise enough.
constexpr std::chrono::seconds expiryInterval { 1 };

// Used until a configuration sets another value.
constexpr std::chrono::seconds defaultIdleTimeout { 15 };

// Servers that are checked to find a trusted one, so that the search costs the same for any number of servers.
constexpr std::size_t maxReferenceChecks = 64;

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

} // namespace

StreamRouter::StreamRouter(Dependencies dependencies, std::string failureDomain, std::size_t maxFlows)
    : m_clock(dependencies.clock)
    , m_events(dependencies.events)
    , m_observer(dependencies.observer)
    , m_random(dependencies.random)
    , m_failureDomain(failureDomain)
    , m_flows(maxFlows)
    , m_placement({ dependencies.clock, dependencies.random, dependencies.events, dependencies.selector, m_directory, m_failureDetector,
                      m_latencyTracker, m_flows, {} },
          std::move(failureDomain))
{
    m_directory.useServices({}); // until a configuration names some
}

StreamDecision StreamRouter::route(const StreamPacket &packet)
{
    // Without a complete view, an unknown route or server may still exist. Clients retransmit until the view is complete.
    if (!isReady()) {
        return drop(packet, StreamOutcome::NotReady);
    }
    const StreamRoute *const route = m_configuration.find(packet.service);
    if (route == nullptr) {
        // The route may be newer than the configuration in force, and another instance may have opened the flow.
        const bool mayBeOpen = !packet.opens && !m_removedRoutes.contains(packet.service);
        return mayBeOpen ? drop(packet, StreamOutcome::NoRoute) : refuse(packet, StreamOutcome::NoRoute);
    }
    return packet.opens ? routeOpening(packet, *route) : routeSubsequent(packet, *route);
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
    const DirectoryRecord *const record = m_directory.findToken(flow->token);
    if (!flow->open) {
        // A client waits longer before it retransmits, so the network has duplicated the packet or this process has read it late.
        const bool isReadAtOnce = m_clock.now() < flow->lastSentAt + FlowTracker::minRetransmissionInterval;
        const bool mayServe = record != nullptr && m_failureDetector.status(record->token, m_clock.now()) != ServerStatus::Gone;
        return isReadAtOnce && mayServe ? forward(*record, StreamOutcome::Known) : place(packet, route, true);
    }
    // A delayed copy of an opening packet doesn't move the flow.
    return record == nullptr ? drop(packet, StreamOutcome::UnknownToken) : forward(*record, StreamOutcome::Known);
}

StreamDecision StreamRouter::place(const StreamPacket &packet, const StreamRoute &route, bool isRetransmission)
{
    std::uint32_t excludedToken = 0;
    if (isRetransmission) {
        excludedToken = m_flows.find(packet.client, packet.service)->token;
        if (const DirectoryRecord *const record = m_directory.findToken(excludedToken); record != nullptr) {
            if (m_failureDetector.recordRetransmission(excludedToken, m_clock.now())) {
                logServerStatus(*record, "opening_packet_repeated");
            }
        }
    }
    if (const auto unopenedServer = isRetransmission ? std::nullopt : m_flows.previousUnopenedServer(packet, m_clock.now())) {
        excludedToken = *unopenedServer;
        m_failureDetector.requestProbe(excludedToken);
    }
    if (route.targets.empty()) {
        m_flows.remove(packet.client, packet.service);
        return refuse(packet, StreamOutcome::NoServer);
    }
    const NewFlow flow { &route, m_placement.targetService(route) };
    const std::string &service = flow.service;
    const std::optional<FlowPlacement::Choice> choice = m_placement.choose(flow, excludedToken, m_confirmationGapEnd);
    if (!choice) {
        m_flows.remove(packet.client, packet.service);
        return refuse(packet, StreamOutcome::NoServer);
    }
    const DirectoryRecord *const record = choice->record;
    m_flows.recordOpening(packet, record->token, m_clock.now());
    m_placement.recordPlacement(*record, flow);
    m_observer.recordViewAges(m_serversAge.age(m_clock.now()), m_configurationAge.age(m_clock.now()));
    logFlowEvent(EventSeverity::Info, isRetransmission ? "flow_placed_again" : "flow_placed", packet,
        { { "route", route.name }, { "service_name", service }, { "server", record->server.id },
            { "address", record->server.address.toString() }, { "domain", record->server.failureDomain },
            { "standing", std::string(serverStatusName(m_failureDetector.status(record->token, m_clock.now()))) },
            { "flows", number(choice->candidate.flows) }, { "awaiting", number(choice->candidate.awaitingResponse) },
            { "pace_percent", number(std::lround(choice->candidate.slowdown * 100)) },
            { "candidates", number(m_directory.listed(service).size()) } });
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
    const DirectoryRecord *const record = m_directory.findToken(token);
    if (record == nullptr) {
        return drop(packet, StreamOutcome::UnknownToken);
    }
    token = record->token;
    if (const auto reason = resetReason(packet, route, token)) {
        return refuse(packet, *reason);
    }
    if (packet.resets) {
        m_flows.remove(packet.client, packet.service);
    } else {
        trackPacket(packet, token);
    }
    return forward(*record, StreamOutcome::Known);
}

std::optional<StreamOutcome> StreamRouter::resetReason(const StreamPacket &packet, const StreamRoute &route, std::uint32_t token) const
{
    const ServerStatus status = m_failureDetector.status(token, m_clock.now());
    if (status != ServerStatus::Silent && status != ServerStatus::Gone) {
        return std::nullopt;
    }
    const StreamFlow *const flow = m_flows.find(packet.client, packet.service);
    const bool isKnown = flow != nullptr && flow->open && flow->token == token && !FlowTracker::isOfLaterFlow(packet, token, *flow);
    const bool hasFailed = isKnown && hasServerFailedSince(*flow);
    if (status == ServerStatus::Gone && (hasFailed || isEndProven(token))) {
        return StreamOutcome::ServerGone;
    }
    // The request can't reach its server. The client may retry it, and does so at once after a reset.
    if (status == ServerStatus::Silent && hasFailed && route.idempotent && packet.length > 0) {
        return StreamOutcome::ServerSilent;
    }
    return std::nullopt;
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
        appendResetEvidence(packet.token, flow != nullptr && flow->open ? flow->openSince : TimePoint(), fields);
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
    if (isKnown && m_directory.findToken(flow->token) != m_directory.findToken(token)) {
        ++m_serverChanges;
        logFlowEvent(
            EventSeverity::Warning, "flow_server_changed", packet, { { "before", number(flow->token) }, { "token", number(token) } });
    }
    const TimePoint placedAt = flow == nullptr ? now : flow->sentAt;
    const PacketObservation observation = m_flows.recordPacket(packet, token, now);
    m_failureDetector.recordForwardedPacket(token); // the next probe decides whether this flow is reset
    if (observation.opened) {
        m_observer.recordOpeningTime(now - placedAt);
    }
    if (observation.responseTime) {
        m_observer.recordResponseTime(*observation.responseTime);
        m_latencyTracker.recordResponse(token, *observation.responseTime, now);
        recordLiveness(token, now - *observation.responseTime);
    }
    if (observation.serverResponded) {
        m_failureDetector.recordResponse(token, now);
    } else if (observation.retransmitted && m_failureDetector.recordRetransmission(token, now)) {
        logServerStatus(*m_directory.findToken(token), "data_repeated");
        resetFlowsOfSilentServer(token);
    }
}

void StreamRouter::recordUnreadable(std::size_t size)
{
    m_counters.count(StreamOutcome::Unreadable);
    m_events.record(EventSeverity::Warning, "datagram_unreadable", { { "bytes", number(size) } });
}

bool StreamRouter::applyConfiguration(StreamConfiguration configuration)
{
    if (!configuration.isNewerThan(m_configuration)) {
        if (configuration.version < m_configuration.version) {
            m_events.record(EventSeverity::Info, "configuration_ignored",
                { { "version", number(configuration.version) }, { "in_force", number(m_configuration.version) },
                    { "era", number(configuration.position.era()) }, { "revision", number(configuration.position.revision()) } });
        }
        return false;
    }
    const StreamConfiguration previous = std::exchange(m_configuration, std::move(configuration));
    for (const auto &[address, route] : previous.routes) {
        if (m_configuration.find(address) == nullptr) {
            m_removedRoutes.insert_or_assign(address, m_clock.now() + ServerDirectory::retention);
        }
    }
    std::erase_if(m_removedRoutes, [this](const auto &entry) { return m_configuration.find(entry.first) != nullptr; });
    advanceCheckedPosition(m_configuration.position);
    m_events.record(EventSeverity::Info, "configuration_in_force",
        { { "version", number(m_configuration.version) }, { "before", number(previous.version) },
            { "era", number(m_configuration.position.era()) }, { "revision", number(m_configuration.position.revision()) },
            { "routes", number(m_configuration.routes.size()) } });
    useTargetServices();
    const auto hasNoRoute = [this](const StreamFlow &flow) { return m_configuration.find(flow.service) == nullptr; };
    resetAll(m_flows.removeMatching(hasNoRoute, m_clock.now()), StreamOutcome::RouteRemoved);
    return true;
}

void StreamRouter::useTargetServices()
{
    std::set<std::string> services;
    for (const auto &[address, route] : m_configuration.routes) {
        for (const RouteTarget &target : route.targets) {
            services.insert(target.service);
        }
    }
    applyChanges(m_directory.useServices(services));
    logUnusedEntries();
}

void StreamRouter::logUnusedEntries()
{
    const auto &unused = m_directory.unused();
    if (std::exchange(m_loggedUnusedCount, unused.size()) == unused.size()) {
        return;
    }
    std::vector<EventField> fields { { "entries", number(unused.size()) } };
    if (!unused.empty()) {
        const StreamServer &first = unused.begin()->second.server;
        fields.push_back({ "first", first.id });
        fields.push_back({ "service_name", first.service });
        fields.push_back({ "address", first.address.toString() });
    }
    m_events.record(EventSeverity::Info, "server_entries_unused", std::move(fields));
}

void StreamRouter::replaceServers(
    const std::vector<StreamServer> &servers, const std::vector<std::string> &unreadable, StorePosition position, TimePoint confirmedAt)
{
    if (position.era() < m_directory.position().era()) {
        return;
    }
    if (recordEra("servers", m_directory.position(), position)) {
        m_confirmationGapEnd = m_clock.now();
    }
    applyChanges(m_directory.replaceAll(servers, unreadable, position, m_clock.now()));
    logUnusedEntries();
    confirmServers(confirmedAt);
}

void StreamRouter::applyServerUpdates(const ServerUpdates &updates, TimePoint confirmedAt)
{
    if (updates.position.era() != m_directory.position().era()) {
        return;
    }
    applyChanges(m_directory.apply(updates.updates, m_clock.now()));
    m_directory.advancePosition(updates.position);
    logUnusedEntries();
    confirmServers(confirmedAt);
}

void StreamRouter::updateServer(const StreamServer &server)
{
    applyChanges(m_directory.update(server));
}

void StreamRouter::removeServer(const std::string &id, StorePosition position)
{
    applyChanges(m_directory.remove(id, position, m_clock.now()));
}

TimePoint StreamRouter::earliestArrival(TimePoint after) const
{
    const TimePoint now = m_clock.now();
    const bool isStalled = m_lastTick != TimePoint() && now > m_lastTick + stallThreshold;
    if (isStalled) {
        return std::max(after, m_lastTick);
    }
    return m_stallEnd > after ? std::max(after, m_stallStart) : now;
}

void StreamRouter::confirmServers(TimePoint time)
{
    if (time > m_serversAge.confirmed() + maxConfirmationGap) {
        m_confirmationGapEnd = time;
    }
    m_serversAge.confirm(time);
}

void StreamRouter::confirmConfiguration(StorePosition position, TimePoint time)
{
    advanceCheckedPosition(position);
    m_configurationAge.confirm(time);
}

void StreamRouter::advanceCheckedPosition(StorePosition position)
{
    recordEra("configuration", m_configurationCheckedPosition, position);
    m_configurationCheckedPosition = std::max(m_configurationCheckedPosition, position);
}

ViewStatus StreamRouter::viewStatus() const
{
    return { m_directory.position(), m_configuration.version, m_configuration.position, m_configurationCheckedPosition,
        m_serversAge.confirmed(), m_configurationAge.confirmed() };
}

std::vector<EndedServer> StreamRouter::takeEndedServers()
{
    return std::exchange(m_endedServers, {});
}

bool StreamRouter::recordEra(std::string_view view, StorePosition before, StorePosition now)
{
    const bool hasChanged = !before.isUnset() && now.era() > before.era();
    if (hasChanged) {
        m_events.record(EventSeverity::Warning, "store_era_changed",
            { { "view", std::string(view) }, { "before", number(before.era()) }, { "era", number(now.era()) },
                { "revision_before", number(before.revision()) }, { "revision", number(now.revision()) } });
    }
    return hasChanged;
}

void StreamRouter::applyChanges(const DirectoryChanges &changes)
{
    for (const DirectoryChange &change : changes) {
        const DirectoryRecord &record = *change.record;
        m_events.record(EventSeverity::Info, "server_listed_change",
            { { "server", record.server.id }, { "change", std::string(directoryChangeName(change.kind)) },
                { "service_name", record.server.service }, { "address", record.server.address.toString() },
                { "domain", record.server.failureDomain }, { "phase", record.server.phase == ServerPhase::Ready ? "ready" : "draining" },
                { "era", number(record.server.position.era()) }, { "revision", number(record.server.position.revision()) } });
        if (record.tokenTaken) {
            m_events.record(
                EventSeverity::Warning, "server_token_taken", { { "server", record.server.id }, { "token", number(record.token) } });
            continue; // what is known under the token is that of the other server
        }
        const bool isCurrent = change.token == record.token; // a later change of the same batch may be of the next incarnation
        switch (change.kind) {
        case DirectoryChange::Kind::AddressClaimed:
            if (!isCurrent) {
                break;
            }
            m_failureDetector.recordAddressClaim(change.token, m_clock.now());
            logServerStatus(record, "address_claimed");
            if (m_failureDetector.isEndReported(change.token)) {
                endReusedServer(record);
            }
            break;
        case DirectoryChange::Kind::Removed:
            if (!isCurrent || record.listed) {
                break;
            }
            if (m_failureDetector.isAddressClaimed(change.token) && isViewContinuous() && m_directory.findTwin(record) == nullptr) {
                endReusedServer(record);
                break;
            }
            m_unconfirmedRemovals.insert_or_assign(change.token, TimePoint());
            m_failureDetector.requestProbe(change.token);
            break;
        case DirectoryChange::Kind::Restarted:
            m_failureDetector.forget(change.previousToken);
            m_latencyTracker.forget(change.previousToken);
            m_placement.forget(change.previousToken);
            break;
        case DirectoryChange::Kind::Added:
            m_failureDetector.forget(change.token);
            break;
        case DirectoryChange::Kind::Restored:
            // An old copy says nothing about whether the server still runs, so a proof of its end holds until a probe is accepted.
            if (m_failureDetector.status(change.token, m_clock.now()) == ServerStatus::Gone) {
                m_failureDetector.requestProbe(change.token);
            }
            break;
        case DirectoryChange::Kind::Changed:
            m_failureDetector.clearAddressClaim(change.token);
            if (record.server.phase == ServerPhase::Draining) {
                m_failureDetector.recordDraining(change.token);
            }
            break;
        }
    }
}

std::vector<ProbeTarget> StreamRouter::takeDueProbes(std::size_t maxCount)
{
    std::vector<ProbeTarget> targets;
    const std::size_t maxDue = maxCount > 1 ? maxCount - 1 : maxCount; // leaves room for the other server's probe
    for (const std::uint32_t token : m_failureDetector.takeDueProbes(m_clock.now(), maxDue)) {
        const DirectoryRecord *const record = m_directory.findToken(token);
        if (record == nullptr || record->token != token) {
            continue;
        }
        // A draining server may have closed its listener while it still has flows, so a probe proves nothing.
        const bool isConclusive = record->takesFlows;
        const bool hasEnded = !record->listed && m_failureDetector.endProvenAt(token) != TimePoint();
        if (isConclusive && !hasEnded) {
            targets.push_back({ token, record->server.id, record->server.address });
        }
    }
    // The other server's probe is started last; see ServerFailureDetector.
    const auto suspected = std::find_if(
        targets.begin(), targets.end(), [this](const ProbeTarget &target) { return m_failureDetector.needsComparison(target.token); });
    if (suspected != targets.end() && targets.size() < maxCount) {
        if (const DirectoryRecord *const reference = findReferenceServer(*suspected)) {
            targets.push_back({ reference->token, reference->server.id, reference->server.address });
        }
    }
    return targets;
}

const DirectoryRecord *StreamRouter::findReferenceServer(const ProbeTarget &suspected)
{
    const auto findTrusted = [this, &suspected](const std::vector<const DirectoryRecord *> &servers) -> const DirectoryRecord * {
        const std::size_t first = servers.empty() ? 0 : m_random.below(servers.size());
        for (std::size_t index = 0; index < std::min(servers.size(), maxReferenceChecks); ++index) {
            const DirectoryRecord *const record = servers[(first + index) % servers.size()];
            const bool isTrusted = m_failureDetector.status(record->token, m_clock.now()) == ServerStatus::Trusted;
            const bool mayServe = isTrusted && record->takesFlows && !record->tokenTaken;
            if (mayServe && record->token != suspected.token && m_failureDetector.startProbe(record->token, m_clock.now())) {
                return record;
            }
        }
        return nullptr;
    };
    const std::string &service = m_directory.findToken(suspected.token)->server.service;
    const DirectoryRecord *reference = findTrusted(m_directory.listedIn(m_failureDomain, service));
    reference = reference == nullptr ? findTrusted(m_directory.listed(service)) : reference;
    return reference == nullptr ? findTrusted(m_directory.all()) : reference;
}

void StreamRouter::recordProbeResult(std::uint32_t token, ConnectResult result, TimePoint probeStart)
{
    const DirectoryRecord *const record = m_directory.findToken(token);
    if (record == nullptr || record->token != token) {
        m_failureDetector.forget(token); // the server expired or restarted during the probe
        return;
    }
    // Like in takeDueProbes(): a server that has begun to drain may have closed its listener while it still has flows.
    if (result != ConnectResult::Accepted && !record->takesFlows) {
        result = ConnectResult::Inconclusive;
    }
    const bool changed = m_failureDetector.recordProbeResult(token, result, probeStart, m_clock.now());
    if (changed) {
        logServerStatus(*record, result == ConnectResult::Refused ? "connection_refused" : connectResultName(result));
    }
    if (result == ConnectResult::Accepted && !m_directory.isAddressReused(*record)) {
        recordLiveness(token, probeStart);
    }
    if (result == ConnectResult::Refused) {
        if (changed && !m_failureDetector.isEndReported(token)) {
            m_endedServers.push_back({ record->server.id, static_cast<std::uint64_t>(record->server.startedAt) });
        }
        const auto hasFailed = [this, token](const StreamFlow &flow) { return flow.token == token && hasServerFailedSince(flow); };
        resetAll(m_flows.endMatching(hasFailed, m_clock.now()), StreamOutcome::ServerGone);
    }
    resetFlowsOfSilentServer(token);
}

void StreamRouter::resetFlowsOfSilentServer(std::uint32_t token)
{
    if (m_failureDetector.status(token, m_clock.now()) != ServerStatus::Silent) {
        return;
    }
    const auto mayBeReset
        = [this, token](const StreamFlow &flow) { return flow.token == token && hasServerFailedSince(flow) && mayRetry(flow); };
    resetAll(m_flows.endMatching(mayBeReset, m_clock.now()), StreamOutcome::ServerSilent);
}

void StreamRouter::handleEndedServer(const EndedServer &ended)
{
    const DirectoryRecord *const record = m_directory.findId(ended.id);
    const bool isSame = record != nullptr && static_cast<std::uint64_t>(record->server.startedAt) == ended.startedAt;
    if (!isSame || record->tokenTaken || !m_failureDetector.recordReportedEnd(record->token)) {
        return;
    }
    logServerStatus(*record, "another_instance");
    if (m_failureDetector.isAddressClaimed(record->token)) {
        endReusedServer(*record); // a probe would be answered by the next server at the address
        return;
    }
    if (m_flows.flowCountsOf(record->token).recent > 0) {
        m_failureDetector.expediteProbe(record->token);
    }
}

void StreamRouter::endServer(const DirectoryRecord &record, std::string_view proof)
{
    if (m_failureDetector.recordProvenEnd(record.token, m_clock.now())) {
        logServerStatus(record, proof);
    }
    const auto isOfServer = [&record](const StreamFlow &flow) { return flow.token == record.token; };
    resetAll(m_flows.endMatching(isOfServer, m_clock.now()), StreamOutcome::ServerGone);
}

void StreamRouter::endReusedServer(const DirectoryRecord &record)
{
    m_directory.recordEnd(record.server.id, m_clock.now());
    endServer(record, "address_reused");
}

bool StreamRouter::isViewContinuous() const
{
    // Entries that expired during an outage of the store are missing for a while after it.
    const TimePoint now = m_clock.now();
    return now <= m_serversAge.confirmed() + maxConfirmationGap && now >= m_confirmationGapEnd + ServerDirectory::relistGracePeriod;
}

bool StreamRouter::isEndProven(std::uint32_t token) const
{
    const TimePoint now = m_clock.now();
    const TimePoint provenAt = m_failureDetector.endProvenAt(token);
    const bool isViewConfirmed = now <= m_serversAge.confirmed() + maxConfirmationGap;
    return provenAt != TimePoint() && (isViewConfirmed || now < provenAt + endProofLifetime);
}

bool StreamRouter::hasServerFailedSince(const StreamFlow &flow) const
{
    // A later flow may belong to the next incarnation of the server, opened by another instance that doesn't know of the restart.
    return flow.openSince < m_failureDetector.lastFailedProbe(flow.token);
}

bool StreamRouter::mayRetry(const StreamFlow &flow) const
{
    const StreamRoute *const route = m_configuration.find(flow.service);
    return !flow.awaitingResponse || (route != nullptr && route->idempotent);
}

void StreamRouter::resetAll(const std::vector<StreamFlow> &flows, StreamOutcome outcome)
{
    for (const StreamFlow &flow : flows) {
        m_counters.count(outcome);
        m_resets.push_back({ flow.client, flow.service, flow.acknowledged });
        std::vector<EventField> fields { { "reason", std::string(streamOutcomeName(outcome)) },
            { "awaiting", flow.awaitingResponse ? "yes" : "no" } };
        appendResetEvidence(flow.token, flow.openSince, fields);
        logFlowEvent(EventSeverity::Warning, "flow_reset", { .client = flow.client, .service = flow.service }, std::move(fields));
    }
}

void StreamRouter::appendResetEvidence(std::uint32_t token, TimePoint openSince, std::vector<EventField> &fields) const
{
    const TimePoint now = m_clock.now();
    const auto age = [now](TimePoint time) {
        return time == TimePoint()
            ? std::string("none")
            : number(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count()));
    };
    const DirectoryRecord *const record = m_directory.findToken(token);
    fields.push_back({ "token", number(token) });
    fields.push_back({ "server", record == nullptr ? "unknown" : record->server.id });
    fields.push_back({ "standing", std::string(serverStatusName(m_failureDetector.status(token, now))) });
    fields.push_back({ "failed_probe_age_ms", age(m_failureDetector.lastFailedProbe(token)) });
    fields.push_back({ "end_proven_age_ms", age(m_failureDetector.endProvenAt(token)) });
    fields.push_back({ "open_ms", age(openSince) });
}

void StreamRouter::tick()
{
    const TimePoint now = m_clock.now();
    if (m_lastTick != TimePoint() && now > m_lastTick + stallThreshold) {
        // Between two stalls in a row there may have been no time to process everything that had arrived.
        const bool continues = m_stallEnd != TimePoint() && m_lastTick < m_stallEnd + stallThreshold;
        m_stallStart = continues ? m_stallStart : m_lastTick;
        m_stallEnd = now;
        m_events.record(EventSeverity::Warning, "process_stalled",
            { { "stalled_ms",
                number(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastTick).count())) } });
    }
    m_lastTick = now;
    m_flows.checkOverdue(now, [this, now](std::uint32_t token) {
        m_failureDetector.requestProbe(token);
        m_latencyTracker.recordOverdueResponse(token, now);
    });
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + expiryInterval;
    const auto idleTimeout = m_configuration.idleTimeout.count() > 0 ? m_configuration.idleTimeout : defaultIdleTimeout;
    m_flows.expire(now, idleTimeout);
    std::erase_if(m_removedRoutes, [now](const auto &entry) { return entry.second <= now; });
    confirmRemovals();
    confirmRecoveries();
    for (const std::uint32_t token : m_directory.expire(now)) {
        m_failureDetector.forget(token);
        m_latencyTracker.forget(token);
        m_placement.forget(token);
    }
}

void StreamRouter::recordLiveness(std::uint32_t token, TimePoint time)
{
    if (const auto found = m_unconfirmedRemovals.find(token); found != m_unconfirmedRemovals.end()) {
        found->second = std::max(found->second, time);
    }
}

void StreamRouter::confirmRemovals()
{
    const TimePoint now = m_clock.now();
    for (auto &[token, lastAlive] : m_unconfirmedRemovals) {
        const DirectoryRecord *const record = m_directory.findToken(token);
        if (record != nullptr && m_directory.findTwin(*record) != nullptr) {
            lastAlive = now;
        }
    }
    std::erase_if(m_unconfirmedRemovals, [this, now](const auto &removal) {
        const auto &[token, lastAlive] = removal;
        const DirectoryRecord *const record = m_directory.findToken(token);
        if (record == nullptr || record->listed) {
            return true;
        }
        const TimePoint confirmed = m_serversAge.confirmed();
        if (now > confirmed + maxConfirmationGap) {
            return false;
        }
        const TimePoint graceStart = std::max({ record->unlistedAt, m_confirmationGapEnd, lastAlive });
        if (confirmed < graceStart + ServerDirectory::relistGracePeriod) {
            if (lastAlive != TimePoint()) {
                m_failureDetector.requestProbe(token); // a server without requests shows only by probes that it still runs
            }
            return false;
        }
        endServer(*record, "entry_removed");
        return true;
    });
}

void StreamRouter::confirmRecoveries()
{
    const auto isListed = [this](std::uint32_t token) {
        const DirectoryRecord *const record = m_directory.findToken(token);
        return record != nullptr && record->listed && record->token == token;
    };
    for (const std::uint32_t token : m_failureDetector.takeRecovered(m_serversAge.confirmed(), isListed)) {
        logServerStatus(*m_directory.findToken(token), "accepted_and_listed");
    }
}

std::vector<StreamReset> StreamRouter::takeResets()
{
    return std::exchange(m_resets, {});
}

bool StreamRouter::isReady() const
{
    return !m_configuration.position.isUnset() && !m_directory.position().isUnset();
}

const StreamConfiguration &StreamRouter::configuration() const
{
    return m_configuration;
}

const ServerDirectory &StreamRouter::directory() const
{
    return m_directory;
}

const FlowTracker &StreamRouter::flows() const
{
    return m_flows;
}

const ServerFailureDetector &StreamRouter::failureDetector() const
{
    return m_failureDetector;
}

const ServerLatencyTracker &StreamRouter::latencyTracker() const
{
    return m_latencyTracker;
}

void StreamRouter::logFlowEvent(EventSeverity severity, std::string_view name, const StreamPacket &packet, std::vector<EventField> fields)
{
    const TimePoint now = m_clock.now();
    std::vector<EventField> all { { "flow", packet.client.toString() + '>' + packet.service.toString() } };
    std::move(fields.begin(), fields.end(), std::back_inserter(all));
    all.push_back({ "configuration", number(m_configuration.version) });
    all.push_back({ "configuration_age_ms", m_configurationAge.text(now) });
    all.push_back({ "servers_era", number(m_directory.position().era()) });
    all.push_back({ "servers_revision", number(m_directory.position().revision()) });
    all.push_back({ "servers_age_ms", m_serversAge.text(now) });
    m_events.record(severity, name, std::move(all));
}

void StreamRouter::logServerStatus(const DirectoryRecord &record, std::string_view evidence)
{
    const ServerFlowCounts counts = m_flows.flowCountsOf(record.token);
    m_events.record(EventSeverity::Warning, "server_standing",
        { { "server", record.server.id },
            { "standing", std::string(serverStatusName(m_failureDetector.status(record.token, m_clock.now()))) },
            { "evidence", std::string(evidence) }, { "address", record.server.address.toString() },
            { "domain", record.server.failureDomain }, { "flows", number(counts.recent) }, { "awaiting", number(counts.awaitingResponse) },
            { "servers_age_ms", m_serversAge.text(m_clock.now()) } });
}

void StreamRouter::writeMetrics(MetricWriter &writer) const
{
    const TimePoint now = m_clock.now();
    for (std::size_t index = 0; index < streamOutcomeCount; ++index) {
        const auto outcome = static_cast<StreamOutcome>(index);
        writer.counter("samphirepitch_stream_packets_total", "Packets of stream flows, and resets of open flows, by outcome.",
            { { "outcome", streamOutcomeName(outcome) } }, m_counters.of(outcome));
    }
    writer.counter("samphirepitch_flow_server_changes_total",
        "Packets of open flows whose token names another server than the packet before.", {}, m_serverChanges);
    writer.gauge("samphirepitch_stream_flows", "Flows that this instance tracks.", {}, static_cast<double>(m_flows.size()));
    writer.gauge(
        "samphirepitch_configuration_version", "Version of the configuration in force.", {}, static_cast<double>(m_configuration.version));
    writer.gauge("samphirepitch_store_era", "Era of the store that a view is from; it rises when the store returns from an older copy.",
        { { "view", "servers" } }, static_cast<double>(m_directory.position().era()));
    writer.gauge("samphirepitch_store_era", "Era of the store that a view is from; it rises when the store returns from an older copy.",
        { { "view", "configuration" } }, static_cast<double>(m_configurationCheckedPosition.era()));
    writer.gauge("samphirepitch_configuration_age_seconds", "Seconds since the configuration was last confirmed.", {},
        m_configurationAge.seconds(now));
    writer.gauge(
        "samphirepitch_servers_age_seconds", "Seconds since the list of servers was last confirmed.", {}, m_serversAge.seconds(now));
    writer.gauge("samphirepitch_servers_slow", "Backend servers that respond much later than others.", {},
        static_cast<double>(m_placement.slowCount()));
    writer.gauge("samphirepitch_server_entries_unused", "Entries of backend servers for services that no configuration has used.", {},
        static_cast<double>(m_directory.unused().size()));
    writer.counter(
        "samphirepitch_server_index_rebuilds_total", "Rebuilds of the indexes of backend servers.", {}, m_directory.rebuildCount());
    writer.gauge(
        "samphirepitch_servers_listed", "Backend servers that discovery lists.", {}, static_cast<double>(m_directory.all().size()));
}

} // namespace Samphirepitch
