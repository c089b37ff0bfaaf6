#include "stream/serverlifecycle.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

// Servers that are checked to find a trusted one, so that the search costs the same for any number of servers.
constexpr std::size_t maxReferenceChecks = 64;

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

} // namespace

ServerLifecycle::ServerLifecycle(Dependencies dependencies, std::string failureDomain)
    : m_clock(dependencies.clock)
    , m_random(dependencies.random)
    , m_events(dependencies.events)
    , m_view(dependencies.view)
    , m_flows(dependencies.flows)
    , m_counters(dependencies.counters)
    , m_failureDomain(std::move(failureDomain))
{
}

std::vector<EndedServer> ServerLifecycle::takeEndedServers()
{
    return std::exchange(m_endedServers, {});
}

void ServerLifecycle::applyChanges(const DirectoryChanges &changes)
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
            if (m_failureDetector.isAddressClaimed(change.token) && m_view.isContinuous() && !isReachedByOther(record)) {
                endReusedServer(record);
                break;
            }
            m_unconfirmedRemovals.insert_or_assign(change.token, TimePoint());
            m_failureDetector.requestProbe(change.token);
            break;
        case DirectoryChange::Kind::Restarted:
            m_failureDetector.forget(change.previousToken);
            m_latencyTracker.forget(change.previousToken);
            m_forgotten.push_back(change.previousToken);
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

std::vector<ProbeTarget> ServerLifecycle::takeDueProbes(std::size_t maxCount)
{
    std::vector<ProbeTarget> targets;
    const std::size_t maxDue = maxCount > 1 ? maxCount - 1 : maxCount; // leaves room for the other server's probe
    for (const std::uint32_t token : m_failureDetector.takeDueProbes(m_clock.now(), maxDue)) {
        const DirectoryRecord *const record = m_view.directory().findToken(token);
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

const DirectoryRecord *ServerLifecycle::findReferenceServer(const ProbeTarget &suspected)
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
    const std::string &service = m_view.directory().findToken(suspected.token)->server.service;
    const DirectoryRecord *reference = findTrusted(m_view.directory().listedIn(m_failureDomain, service));
    reference = reference == nullptr ? findTrusted(m_view.directory().listed(service)) : reference;
    return reference == nullptr ? findTrusted(m_view.directory().all()) : reference;
}

void ServerLifecycle::recordProbeResult(std::uint32_t token, ConnectResult result, TimePoint probeStart)
{
    const DirectoryRecord *const record = m_view.directory().findToken(token);
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
    if (result == ConnectResult::Accepted && !m_view.directory().isAddressReused(*record)) {
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

void ServerLifecycle::resetFlowsOfSilentServer(std::uint32_t token)
{
    if (m_failureDetector.status(token, m_clock.now()) != ServerStatus::Silent) {
        return;
    }
    const auto mayBeReset
        = [this, token](const StreamFlow &flow) { return flow.token == token && hasServerFailedSince(flow) && mayRetry(flow); };
    resetAll(m_flows.endMatching(mayBeReset, m_clock.now()), StreamOutcome::ServerSilent);
}

void ServerLifecycle::handleEndedServer(const EndedServer &ended)
{
    const DirectoryRecord *const record = m_view.directory().findId(ended.id);
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

void ServerLifecycle::endServer(const DirectoryRecord &record, std::string_view proof)
{
    if (m_failureDetector.recordProvenEnd(record.token, m_clock.now())) {
        logServerStatus(record, proof);
    }
    const auto isOfServer = [&record](const StreamFlow &flow) { return flow.token == record.token; };
    resetAll(m_flows.endMatching(isOfServer, m_clock.now()), StreamOutcome::ServerGone);
}

void ServerLifecycle::endReusedServer(const DirectoryRecord &record)
{
    m_view.directory().recordEnd(record.server.id, m_clock.now());
    endServer(record, "address_reused");
}

bool ServerLifecycle::isEndProven(std::uint32_t token) const
{
    const TimePoint now = m_clock.now();
    const TimePoint provenAt = m_failureDetector.endProvenAt(token);
    const bool isViewConfirmed = now <= m_view.serversAge().confirmed() + StoreView::maxConfirmationGap;
    return provenAt != TimePoint() && (isViewConfirmed || now < provenAt + endProofLifetime);
}

bool ServerLifecycle::hasServerFailedSince(const StreamFlow &flow) const
{
    // A later flow may belong to the next incarnation of the server, opened by another instance that doesn't know of the restart.
    return flow.openSince < m_failureDetector.lastFailedProbe(flow.token);
}

bool ServerLifecycle::mayRetry(const StreamFlow &flow) const
{
    const StreamRoute *const route = m_view.configuration().find(flow.service);
    return !flow.awaitingResponse || (route != nullptr && route->idempotent);
}

std::optional<StreamOutcome> ServerLifecycle::resetReason(const StreamPacket &packet, const StreamRoute &route, std::uint32_t token) const
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

void ServerLifecycle::resetAll(const std::vector<StreamFlow> &flows, StreamOutcome outcome)
{
    for (const StreamFlow &flow : flows) {
        m_counters.count(outcome);
        m_resets.push_back({ flow.client, flow.service, flow.acknowledged });
        std::vector<EventField> fields { { "reason", std::string(streamOutcomeName(outcome)) },
            { "awaiting", flow.awaitingResponse ? "yes" : "no" } };
        appendResetEvidence(flow.token, flow.openSince, fields);
        m_view.recordFlowEvent(EventSeverity::Warning, "flow_reset", flow.client, flow.service, std::move(fields));
    }
}

void ServerLifecycle::appendResetEvidence(std::uint32_t token, TimePoint openSince, std::vector<EventField> &fields) const
{
    const TimePoint now = m_clock.now();
    const auto age = [now](TimePoint time) {
        return time == TimePoint()
            ? std::string("none")
            : number(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count()));
    };
    const DirectoryRecord *const record = m_view.directory().findToken(token);
    fields.push_back({ "token", number(token) });
    fields.push_back({ "server", record == nullptr ? "unknown" : record->server.id });
    fields.push_back({ "standing", std::string(serverStatusName(m_failureDetector.status(token, now))) });
    fields.push_back({ "failed_probe_age_ms", age(m_failureDetector.lastFailedProbe(token)) });
    fields.push_back({ "end_proven_age_ms", age(m_failureDetector.endProvenAt(token)) });
    fields.push_back({ "open_ms", age(openSince) });
}

bool ServerLifecycle::isReachedByOther(const DirectoryRecord &record) const
{
    return m_view.directory().findTwin(record) != nullptr || m_view.directory().hasLaterEntry(record);
}

void ServerLifecycle::recordLiveness(std::uint32_t token, TimePoint time)
{
    if (const auto found = m_unconfirmedRemovals.find(token); found != m_unconfirmedRemovals.end()) {
        found->second = std::max(found->second, time);
    }
}

void ServerLifecycle::confirmRemovals()
{
    const TimePoint now = m_clock.now();
    for (auto &[token, lastAlive] : m_unconfirmedRemovals) {
        const DirectoryRecord *const record = m_view.directory().findToken(token);
        if (record != nullptr && isReachedByOther(*record)) {
            lastAlive = now;
        }
    }
    std::erase_if(m_unconfirmedRemovals, [this, now](const auto &removal) {
        const auto &[token, lastAlive] = removal;
        const DirectoryRecord *const record = m_view.directory().findToken(token);
        if (record == nullptr || record->listed) {
            return true;
        }
        const TimePoint confirmed = m_view.serversAge().confirmed();
        if (now > confirmed + StoreView::maxConfirmationGap) {
            return false;
        }
        const TimePoint graceStart = std::max({ record->unlistedAt, m_view.confirmationGapEnd(), lastAlive });
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

void ServerLifecycle::confirmRecoveries()
{
    const auto isListed = [this](std::uint32_t token) {
        const DirectoryRecord *const record = m_view.directory().findToken(token);
        return record != nullptr && record->listed && record->token == token;
    };
    for (const std::uint32_t token : m_failureDetector.takeRecovered(m_view.serversAge().confirmed(), isListed)) {
        logServerStatus(*m_view.directory().findToken(token), "accepted_and_listed");
    }
}

std::vector<StreamReset> ServerLifecycle::takeResets()
{
    return std::exchange(m_resets, {});
}

const ServerFailureDetector &ServerLifecycle::failureDetector() const
{
    return m_failureDetector;
}

const ServerLatencyTracker &ServerLifecycle::latencyTracker() const
{
    return m_latencyTracker;
}

void ServerLifecycle::logServerStatus(const DirectoryRecord &record, std::string_view evidence)
{
    const ServerFlowCounts counts = m_flows.flowCountsOf(record.token);
    m_events.record(EventSeverity::Warning, "server_standing",
        { { "server", record.server.id },
            { "standing", std::string(serverStatusName(m_failureDetector.status(record.token, m_clock.now()))) },
            { "evidence", std::string(evidence) }, { "address", record.server.address.toString() },
            { "domain", record.server.failureDomain }, { "flows", number(counts.recent) }, { "awaiting", number(counts.awaitingResponse) },
            { "servers_age_ms", m_view.serversAge().text(m_clock.now()) } });
}

ServerLatencyTracker &ServerLifecycle::latencyTracker()
{
    return m_latencyTracker;
}

ServerFailureDetector &ServerLifecycle::failureDetector()
{
    return m_failureDetector;
}

void ServerLifecycle::expire()
{
    confirmRemovals();
    confirmRecoveries();
    for (const std::uint32_t token : m_view.directory().expire(m_clock.now())) {
        m_failureDetector.forget(token);
        m_latencyTracker.forget(token);
        m_forgotten.push_back(token);
    }
}

std::vector<std::uint32_t> ServerLifecycle::takeForgotten()
{
    return std::exchange(m_forgotten, {});
}

} // namespace Samphirepitch
