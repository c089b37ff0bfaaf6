#include "stream/streamrouter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Samphirepitch
{

namespace
{

// Flows and servers expire after seconds, so that looking once a second is exact enough.
constexpr std::chrono::seconds expiryInterval { 1 };

// Until a configuration says otherwise.
constexpr std::chrono::seconds defaultIdleTimeout { 15 };

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

} // namespace

StreamRouter::StreamRouter(Parts parts, std::string failureDomain, std::size_t maxFlows)
    : m_clock(parts.clock)
    , m_events(parts.events)
    , m_observer(parts.observer)
    , m_flows(maxFlows)
    , m_placement(
          { parts.clock, parts.random, parts.events, parts.selector, m_directory, m_evidence, m_pace, m_flows }, std::move(failureDomain))
{
}

StreamDecision StreamRouter::route(const StreamPacket &packet)
{
    // Without a complete view nothing is known to be missing; a client repeats its packets until the view is there.
    if (!isReady()) {
        return drop(packet, StreamOutcome::NotReady);
    }
    const StreamRoute *const route = m_configuration.find(packet.service);
    if (route == nullptr) {
        return refuse(packet, StreamOutcome::NoRoute);
    }
    return packet.opens ? routeOpening(packet, *route) : routeLater(packet, *route);
}

StreamDecision StreamRouter::routeOpening(const StreamPacket &packet, const StreamRoute &route)
{
    const StreamFlow *const flow = m_flows.find(packet.client, packet.service);
    if (flow == nullptr) {
        return place(packet, route, false);
    }
    if (flow->ended) {
        m_flows.remove(packet.client, packet.service); // the client uses the port again
        return place(packet, route, false);
    }
    if (!flow->open) {
        return place(packet, route, true);
    }
    // A late copy of an opening packet; the flow stays where it is.
    const DirectoryRecord *const record = m_directory.findToken(flow->token);
    return record == nullptr ? drop(packet, StreamOutcome::UnknownToken) : forward(*record, StreamOutcome::Known);
}

StreamDecision StreamRouter::place(const StreamPacket &packet, const StreamRoute &route, bool isCopy)
{
    std::uint32_t earlier = 0;
    if (isCopy) {
        earlier = m_flows.find(packet.client, packet.service)->token;
        if (const DirectoryRecord *const record = m_directory.findToken(earlier); record != nullptr) {
            if (m_evidence.unanswered(earlier, m_clock.now())) {
                recordStanding(*record, "opening_packet_repeated");
            }
        }
    }
    if (const auto unopened = isCopy ? std::nullopt : m_flows.unopenedBefore(packet, m_clock.now())) {
        earlier = *unopened;
        m_evidence.overdue(earlier);
    }
    const std::string &service = m_placement.targetService(route);
    const std::optional<FlowPlacement::Choice> choice = m_placement.choose(service, earlier, m_gapEnd);
    if (!choice) {
        m_flows.remove(packet.client, packet.service);
        return refuse(packet, StreamOutcome::NoServer);
    }
    const DirectoryRecord *const record = choice->record;
    m_flows.opening(packet, record->token, m_clock.now());
    m_observer.viewsUsed(m_serversAge.age(m_clock.now()), m_configurationAge.age(m_clock.now()));
    recordFlow(EventSeverity::Info, isCopy ? "flow_placed_again" : "flow_placed", packet,
        { { "route", route.name }, { "service_name", service }, { "server", record->server.id },
            { "address", record->server.address.toString() }, { "domain", record->server.failureDomain },
            { "standing", std::string(standingName(m_evidence.standing(record->token, m_clock.now()))) },
            { "flows", number(choice->candidate.flows) }, { "awaiting", number(choice->candidate.awaiting) },
            { "pace_percent", number(std::lround(choice->candidate.pace * 100)) },
            { "candidates", number(m_directory.listed(service).size()) } });
    return forward(*record, isCopy ? StreamOutcome::PlacedAgain : StreamOutcome::Placed);
}

StreamDecision StreamRouter::routeLater(const StreamPacket &packet, const StreamRoute &route)
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
    if (const auto reason = reasonToEnd(packet, route, token)) {
        return refuse(packet, *reason);
    }
    if (packet.resets) {
        m_flows.remove(packet.client, packet.service);
    } else {
        takeEvidence(packet, token);
    }
    return forward(*record, StreamOutcome::Known);
}

std::optional<StreamOutcome> StreamRouter::reasonToEnd(const StreamPacket &packet, const StreamRoute &route, std::uint32_t token) const
{
    const Standing standing = m_evidence.standing(token, m_clock.now());
    if (standing != Standing::Silent && standing != Standing::Gone) {
        return std::nullopt;
    }
    const StreamFlow *const flow = m_flows.find(packet.client, packet.service);
    const bool hasFailed = flow != nullptr && flow->open && flow->token == token && failedSince(*flow);
    if (standing == Standing::Gone && (hasFailed || isEndProven(token))) {
        return StreamOutcome::ServerGone;
    }
    // The request can't reach its server; the client may repeat it, and does so at once after a reset.
    if (standing == Standing::Silent && hasFailed && route.idempotent && packet.length > 0) {
        return StreamOutcome::ServerSilent;
    }
    return std::nullopt;
}

StreamDecision StreamRouter::refuse(const StreamPacket &packet, StreamOutcome outcome)
{
    // A reset is never answered by another one.
    if (packet.resets) {
        return drop(packet, outcome);
    }
    m_counters.count(outcome);
    recordFlow(EventSeverity::Warning, "flow_reset", packet, { { "reason", std::string(streamOutcomeName(outcome)) } });
    return { .action = StreamDecision::Action::Reset, .outcome = outcome };
}

StreamDecision StreamRouter::drop(const StreamPacket &packet, StreamOutcome outcome)
{
    m_counters.count(outcome);
    recordFlow(EventSeverity::Warning, "packet_dropped", packet,
        { { "reason", std::string(streamOutcomeName(outcome)) }, { "token", number(packet.token) } });
    return { .action = StreamDecision::Action::Drop, .outcome = outcome };
}

StreamDecision StreamRouter::forward(const DirectoryRecord &record, StreamOutcome outcome)
{
    m_counters.count(outcome);
    return { .action = StreamDecision::Action::Forward, .outcome = outcome, .server = &record.server, .token = record.token };
}

void StreamRouter::takeEvidence(const StreamPacket &packet, std::uint32_t token)
{
    const TimePoint now = m_clock.now();
    const StreamFlow *const flow = m_flows.find(packet.client, packet.service);
    const TimePoint placedAt = flow == nullptr ? now : flow->sentAt;
    const PacketEvidence evidence = m_flows.packet(packet, token, now);
    m_evidence.packetPassed(token); // the next connection decides about this flow
    if (evidence.openedNow) {
        m_observer.flowOpened(now - placedAt);
    }
    if (evidence.answerTime) {
        m_observer.answered(*evidence.answerTime);
        m_pace.answered(token, *evidence.answerTime, now);
    }
    if (evidence.answered) {
        m_evidence.progress(token, now);
    } else if (evidence.repeated && m_evidence.unanswered(token, now)) {
        recordStanding(*m_directory.findToken(token), "data_repeated");
        endSilent(token);
    }
}

void StreamRouter::unreadable(std::size_t size)
{
    m_counters.count(StreamOutcome::Unreadable);
    m_events.record(EventSeverity::Warning, "datagram_unreadable", { { "bytes", number(size) } });
}

bool StreamRouter::adopt(StreamConfiguration configuration)
{
    if (configuration.revision <= m_configuration.revision) {
        return false;
    }
    const std::uint64_t before = std::exchange(m_configuration, std::move(configuration)).version;
    m_configurationChecked = std::max(m_configurationChecked, m_configuration.revision);
    m_events.record(EventSeverity::Info, "configuration_in_force",
        { { "version", number(m_configuration.version) }, { "before", number(before) }, { "revision", number(m_configuration.revision) },
            { "routes", number(m_configuration.routes.size()) } });
    resetAll(m_flows.takeIf([this](const StreamFlow &flow) { return m_configuration.find(flow.service) == nullptr; }),
        StreamOutcome::RouteRemoved);
    return true;
}

void StreamRouter::serversListed(
    const std::vector<StreamServer> &servers, const std::vector<std::string> &unreadable, std::uint64_t revision, TimePoint confirmedAt)
{
    take(m_directory.replaceAll(servers, unreadable, revision, m_clock.now()));
    serversConfirmed(confirmedAt);
}

void StreamRouter::serversUpdated(const ServerUpdates &updates, TimePoint confirmedAt)
{
    for (const ServerUpdate &update : updates.updates) {
        if (update.listed) {
            serverListed(*update.listed);
        } else if (update.unlisted) {
            serverUnlisted(*update.unlisted, update.revision);
        }
    }
    m_directory.completeUntil(updates.revision);
    serversConfirmed(confirmedAt);
}

void StreamRouter::serverListed(const StreamServer &server)
{
    take(m_directory.update(server, m_clock.now()));
}

void StreamRouter::serverUnlisted(const std::string &id, std::uint64_t revision)
{
    take(m_directory.remove(id, revision, m_clock.now()));
}

void StreamRouter::serversConfirmed(TimePoint time)
{
    if (time > m_serversAge.confirmed() + confirmationGap) {
        m_gapEnd = time;
    }
    m_serversAge.confirm(time);
}

void StreamRouter::configurationConfirmed(std::uint64_t revision, TimePoint time)
{
    m_configurationChecked = std::max(m_configurationChecked, revision);
    m_configurationAge.confirm(time);
}

ViewStatus StreamRouter::viewStatus() const
{
    return { m_directory.revision(), m_configuration.revision, m_configurationChecked, m_serversAge.confirmed(),
        m_configurationAge.confirmed() };
}

std::vector<EndedServer> StreamRouter::takeEnded()
{
    return std::exchange(m_ended, {});
}

void StreamRouter::take(const DirectoryChanges &changes)
{
    for (const DirectoryChange &change : changes) {
        const DirectoryRecord &record = *change.record;
        m_events.record(EventSeverity::Info, "server_listed_change",
            { { "server", record.server.id }, { "change", std::string(directoryChangeName(change.kind)) },
                { "service_name", record.server.service }, { "address", record.server.address.toString() },
                { "domain", record.server.failureDomain }, { "phase", record.server.phase == ServerPhase::Ready ? "ready" : "draining" },
                { "revision", number(record.server.revision) } });
        if (record.shadowed) {
            m_events.record(
                EventSeverity::Warning, "server_token_taken", { { "server", record.server.id }, { "token", number(record.token) } });
        }
        switch (change.kind) {
        case DirectoryChange::Kind::AddressReused:
            end(record, "address_reused");
            break;
        case DirectoryChange::Kind::Removed:
            m_removed.push_back(record.token);
            m_evidence.overdue(record.token);
            break;
        case DirectoryChange::Kind::Restarted:
            m_evidence.forget(change.formerToken);
            m_pace.forget(change.formerToken);
            m_placement.forget(change.formerToken);
            break;
        case DirectoryChange::Kind::Added:
            m_evidence.forget(record.token);
            break;
        case DirectoryChange::Kind::Changed:
            break;
        }
    }
}

std::vector<ProbeTarget> StreamRouter::takeDueProbes(std::size_t most)
{
    std::vector<ProbeTarget> targets;
    for (const std::uint32_t token : m_evidence.takeDueProbes(m_clock.now(), most)) {
        const DirectoryRecord *const record = m_directory.findToken(token);
        if (record == nullptr || record->token != token) {
            continue;
        }
        // A draining server may have closed its listener and still hold flows, so that a connection proves nothing.
        const bool mayEnd = record->server.phase == ServerPhase::Ready;
        const bool isOver = !record->listed && m_evidence.endProvenAt(token) != TimePoint();
        if (mayEnd && !isOver) {
            targets.push_back({ token, record->server.id, record->server.address });
        }
    }
    return targets;
}

void StreamRouter::probed(std::uint32_t token, ConnectResult result, TimePoint begun)
{
    const DirectoryRecord *const record = m_directory.findToken(token);
    if (record == nullptr || record->token != token) {
        m_evidence.forget(token); // it expired, or started again, while the connection was made
        return;
    }
    const bool changed = m_evidence.connected(token, result, begun, m_clock.now());
    if (changed) {
        recordStanding(*record, result == ConnectResult::Refused ? "connection_refused" : connectResultName(result));
    }
    if (result == ConnectResult::Refused) {
        if (changed && !m_evidence.isReportedEnded(token)) {
            m_ended.push_back({ record->server.id, static_cast<std::uint64_t>(record->server.startedAt) });
        }
        resetAll(m_flows.endIf([this, token](const StreamFlow &flow) { return flow.token == token && failedSince(flow); }),
            StreamOutcome::ServerGone);
    }
    endSilent(token);
}

void StreamRouter::endSilent(std::uint32_t token)
{
    if (m_evidence.standing(token, m_clock.now()) != Standing::Silent) {
        return;
    }
    resetAll(m_flows.endIf([this, token](const StreamFlow &flow) { return flow.token == token && failedSince(flow) && mayRepeat(flow); }),
        StreamOutcome::ServerSilent);
}

void StreamRouter::serverEnded(const EndedServer &ended)
{
    const DirectoryRecord *const record = m_directory.findId(ended.id);
    const bool isSame = record != nullptr && static_cast<std::uint64_t>(record->server.startedAt) == ended.startedAt;
    if (!isSame || !m_evidence.reportedEnded(record->token)) {
        return;
    }
    recordStanding(*record, "another_instance");
    if (m_flows.flowsOf(record->token).recent > 0) {
        m_evidence.recheck(record->token);
    }
}

void StreamRouter::end(const DirectoryRecord &record, std::string_view proof)
{
    if (m_evidence.ended(record.token, m_clock.now())) {
        recordStanding(record, proof);
    }
    resetAll(m_flows.endIf([&record](const StreamFlow &flow) { return flow.token == record.token; }), StreamOutcome::ServerGone);
}

bool StreamRouter::isEndProven(std::uint32_t token) const
{
    const TimePoint now = m_clock.now();
    const TimePoint provenAt = m_evidence.endProvenAt(token);
    const bool isViewConfirmed = now <= m_serversAge.confirmed() + confirmationGap;
    return provenAt != TimePoint() && (isViewConfirmed || now < provenAt + freshProofTime);
}

bool StreamRouter::failedSince(const StreamFlow &flow) const
{
    // Another instance may have opened a later flow at the next incarnation of the server without having heard of it.
    return flow.openSince < m_evidence.failedConnection(flow.token);
}

bool StreamRouter::mayRepeat(const StreamFlow &flow) const
{
    const StreamRoute *const route = m_configuration.find(flow.service);
    return !flow.awaiting || (route != nullptr && route->idempotent);
}

void StreamRouter::resetAll(const std::vector<StreamFlow> &flows, StreamOutcome outcome)
{
    for (const StreamFlow &flow : flows) {
        m_counters.count(outcome);
        m_resets.push_back({ flow.client, flow.service, flow.acknowledged });
        recordFlow(EventSeverity::Warning, "flow_reset", { .client = flow.client, .service = flow.service },
            { { "reason", std::string(streamOutcomeName(outcome)) }, { "token", number(flow.token) },
                { "awaiting", flow.awaiting ? "yes" : "no" } });
    }
}

void StreamRouter::tick()
{
    const TimePoint now = m_clock.now();
    m_flows.checkOverdue(now, [this, now](std::uint32_t token) {
        m_evidence.overdue(token);
        m_pace.late(token, now);
    });
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + expiryInterval;
    const auto idleTimeout = m_configuration.idleTimeout.count() > 0 ? m_configuration.idleTimeout : defaultIdleTimeout;
    m_flows.expire(now, idleTimeout);
    checkRemoved();
    checkReturned();
    for (const std::uint32_t token : m_directory.expire(now)) {
        m_evidence.forget(token);
        m_pace.forget(token);
        m_placement.forget(token);
    }
}

void StreamRouter::checkRemoved()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_removed, [this, now](std::uint32_t token) {
        const DirectoryRecord *const record = m_directory.findToken(token);
        if (record == nullptr || record->listed) {
            return true;
        }
        const TimePoint confirmed = m_serversAge.confirmed();
        if (now > confirmed + confirmationGap || confirmed < std::max(record->unlistedAt, m_gapEnd) + ServerDirectory::returnTime) {
            return false;
        }
        end(*record, "entry_removed");
        return true;
    });
}

void StreamRouter::checkReturned()
{
    const auto isListed = [this](std::uint32_t token) {
        const DirectoryRecord *const record = m_directory.findToken(token);
        return record != nullptr && record->listed && record->token == token;
    };
    for (const std::uint32_t token : m_evidence.takeReturned(m_serversAge.confirmed(), isListed)) {
        recordStanding(*m_directory.findToken(token), "accepted_and_listed");
    }
}

std::vector<StreamReset> StreamRouter::takeResets()
{
    return std::exchange(m_resets, {});
}

bool StreamRouter::isReady() const
{
    return m_configuration.revision > 0 && m_directory.revision() > 0;
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

const ServerEvidence &StreamRouter::evidence() const
{
    return m_evidence;
}

const ServerPace &StreamRouter::pace() const
{
    return m_pace;
}

void StreamRouter::recordFlow(EventSeverity severity, std::string_view name, const StreamPacket &packet, std::vector<EventField> fields)
{
    const TimePoint now = m_clock.now();
    std::vector<EventField> all { { "flow", packet.client.toString() + '>' + packet.service.toString() } };
    std::move(fields.begin(), fields.end(), std::back_inserter(all));
    all.push_back({ "configuration", number(m_configuration.version) });
    all.push_back({ "configuration_age_ms", m_configurationAge.text(now) });
    all.push_back({ "servers_revision", number(m_directory.revision()) });
    all.push_back({ "servers_age_ms", m_serversAge.text(now) });
    m_events.record(severity, name, std::move(all));
}

void StreamRouter::recordStanding(const DirectoryRecord &record, std::string_view evidence)
{
    const ServerFlows load = m_flows.flowsOf(record.token);
    m_events.record(EventSeverity::Warning, "server_standing",
        { { "server", record.server.id }, { "standing", std::string(standingName(m_evidence.standing(record.token, m_clock.now()))) },
            { "evidence", std::string(evidence) }, { "address", record.server.address.toString() },
            { "domain", record.server.failureDomain }, { "flows", number(load.recent) }, { "awaiting", number(load.awaiting) },
            { "servers_age_ms", m_serversAge.text(m_clock.now()) } });
}

void StreamRouter::writeMetrics(MetricWriter &writer) const
{
    const TimePoint now = m_clock.now();
    for (std::size_t index = 0; index < streamOutcomeCount; ++index) {
        const auto outcome = static_cast<StreamOutcome>(index);
        writer.counter("samphirepitch_stream_packets_total", "Packets of stream flows by what was decided.",
            { { "outcome", streamOutcomeName(outcome) } }, m_counters.of(outcome));
    }
    writer.gauge("samphirepitch_stream_flows", "Flows that this instance tracks.", {}, static_cast<double>(m_flows.size()));
    writer.gauge("samphirepitch_configuration_version", "Version in force.", {}, static_cast<double>(m_configuration.version));
    writer.gauge("samphirepitch_configuration_age_seconds", "Since the configuration was confirmed.", {}, m_configurationAge.seconds(now));
    writer.gauge("samphirepitch_servers_age_seconds", "Since the list of servers was confirmed.", {}, m_serversAge.seconds(now));
    writer.gauge("samphirepitch_servers_slow", "Backend servers that answer much later than others.", {},
        static_cast<double>(m_placement.slowCount()));
    writer.gauge(
        "samphirepitch_servers_listed", "Backend servers that discovery lists.", {}, static_cast<double>(m_directory.all().size()));
}

} // namespace Samphirepitch
