#include "data/requesthandler.h"

#include "core/random.h"
#include "data/responseobserver.h"
#include "data/rpcrefusal.h"
#include "membership/memberview.h"
#include "routing/flowkey.h"

#include <algorithm>

namespace Samphirepitch
{

namespace
{

constexpr std::chrono::seconds maxLoadReportAge { 1 }; // older reports are ignored, because the load varies within seconds
constexpr std::chrono::milliseconds retryAfterRefusal { 50 }; // gives changes of members or servers time to propagate
constexpr std::string_view repeatedReason = "repeated";
constexpr std::string_view quarantineReason = "quarantine";
constexpr std::string_view timeoutReason = "deadline";

} // namespace

RequestHandler::RequestHandler(
    RequestSettings settings, Router &router, RandomSource &random, PacketOutput &output, PacketCounters &counters, TimePoint startedAt)
    : m_settings(std::move(settings))
    , m_router(router)
    , m_random(random)
    , m_output(output)
    , m_counters(counters)
    , m_pending(m_settings.maxPendingRequests)
    , m_outcomes(m_settings.maxStoredOutcomes, m_settings.maxStoredResponseBytes)
    , m_ownership(m_settings.instance, m_settings.isNewId, startedAt)
{
}

void RequestHandler::configurationChanged()
{
    for (const auto &[id, service] : m_router.services().services()) {
        ServiceState &state = m_services[id];
        if (!state.chooser) {
            state.chooser = ServerChooser::create(m_settings.chooser);
        }
        state.retryBudget.setPercent(service->policy.retryBudgetPercent());
        std::size_t slots = 0;
        for (const ServerIndex server : service->placement->servers()) {
            slots += m_router.servers().server(server).takesNewWork ? slotShare(m_router.servers().server(server)) : 0;
        }
        state.queue.setLimits(service->policy.queueLimit(), slots);
    }
}

void RequestHandler::memberViewChanged(std::shared_ptr<const MemberView> view, TimePoint now)
{
    std::chrono::milliseconds longestRepeatWindow { 0 };
    for (const auto &[id, service] : m_router.services().services()) {
        longestRepeatWindow = std::max(longestRepeatWindow, service->policy.repeatWindow());
    }
    const auto liveInstances = std::count_if(
        view->members().begin(), view->members().end(), [](const Member &member) { return member.state() == MemberState::Alive; });
    m_liveInstances = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(liveInstances));
    m_ownership.memberViewChanged(std::move(view), longestRepeatWindow, now);
    configurationChanged();
}

void RequestHandler::setResponseObserver(ResponseObserver *observer)
{
    m_observer = observer;
}

void RequestHandler::setViewDeadline(TimePoint deadline)
{
    m_viewDeadline = deadline;
}

void RequestHandler::handleRequest(const IncomingRequest &incoming, TimePoint now)
{
    if (!incoming.idempotent) {
        handleNonIdempotentRequest(incoming, now);
        return;
    }
    if (m_pending.find(incoming.request) || m_services[incoming.service->id].queue.contains(incoming.request)) {
        ++m_counters.repeatedRequests; // the response to the first request serves the caller
        return;
    }
    if (now >= incoming.deadline) {
        refuse(incoming.request, true, refusalName(RefusalReason::DeadlinePassed));
        return;
    }
    startRequest(incoming, now);
}

void RequestHandler::handleNonIdempotentRequest(const IncomingRequest &incoming, TimePoint now)
{
    const OutcomeLookup recorded = m_outcomes.find(incoming.request);
    if (recorded.status != OutcomeStatus::New) {
        ++m_counters.repeatedRequests;
        if (recorded.status == OutcomeStatus::Answered) {
            sendToCaller(incoming.request, recorded.response);
        } else {
            refuse(incoming.request, false, repeatedReason);
        }
        return;
    }
    // Only the owner knows whether the request was sent before, so a refusal before the owner is determined must say "unknown".
    if (now >= m_viewDeadline || now >= incoming.deadline) {
        refuse(incoming.request, false, now >= m_viewDeadline ? refusalName(RefusalReason::ViewExpired) : timeoutReason);
        return;
    }
    const std::chrono::milliseconds repeatWindow = incoming.service->policy.repeatWindow();
    const bool isDelegated = incoming.acceptedByOwner && isLiveInstance(incoming.sender);
    const OwnerDecision owner = isDelegated ? OwnerDecision { OwnerAction::DecideHere, nullptr }
                                            : m_ownership.decide(incoming.request.key(), incoming.sender, incoming.hops, repeatWindow, now);
    if (owner.action == OwnerAction::Forward) {
        forwardToInstance(incoming, *owner.instance);
        return;
    }
    if (owner.action == OwnerAction::Unknown) {
        refuse(incoming.request, false, quarantineReason);
        return;
    }
    if (m_outcomes.addIfNew(incoming.request, now + repeatWindow + RequestOwnership::maxClockSkew).status == OutcomeStatus::Full) {
        refuse(incoming.request, true, refusalName(RefusalReason::MemoryFull));
        return;
    }
    IncomingRequest accepted = incoming;
    accepted.owner = isDelegated ? incoming.sender : Endpoint();
    // Forwarding to the owner may have used up all hops. The hops from there to the owner of the flow are counted from 0.
    accepted.hops = isDelegated ? incoming.hops : 0;
    accepted.acceptedByOwner = true;
    if (!startRequest(accepted, now)) {
        m_outcomes.remove(incoming.request);
    }
}

/** Sends, forwards or queues a request. Returns false if it was refused as not run instead. */
bool RequestHandler::startRequest(const IncomingRequest &incoming, TimePoint now)
{
    return incoming.service->service.affinity() == Affinity::Flow ? startWithFlowAffinity(incoming, now)
                                                                  : startWithRequestAffinity(incoming, now);
}

bool RequestHandler::startWithFlowAffinity(const IncomingRequest &incoming, TimePoint now)
{
    const std::uint64_t key = flowKey(incoming.request.caller, incoming.request.service);
    const RouteDecision decision = m_router.route(*incoming.service, key, now, incoming.hops);
    switch (decision.action) {
    case RouteAction::Send:
        return dispatch(incoming, decision.server, now);
    case RouteAction::Forward:
        // The owner of the flow sends the request. A non-idempotent one stays recorded here as sent.
        forwardToInstance(incoming, *decision.instance);
        return true;
    case RouteAction::Refuse:
        break;
    }
    refuse(incoming.request, true, refusalName(decision.reason), retryAfterRefusal);
    return false;
}

bool RequestHandler::startWithRequestAffinity(const IncomingRequest &incoming, TimePoint now)
{
    ServiceState &state = m_services[incoming.service->id];
    const std::uint64_t key = flowKey(incoming.request.caller, incoming.request.service);
    const ServerIndex server = state.queue.size() > 0 ? noServer : chooseServer(*incoming.service, state, key, noServer, now);
    if (server != noServer) {
        return dispatch(incoming, server, now);
    }
    QueuedRequest queued { incoming.request, incoming.deadline, incoming.wallDeadline, incoming.idempotent,
        { incoming.payload.begin(), incoming.payload.end() } };
    const auto enqueued = state.queue.push(std::move(queued), now, m_random);
    if (!enqueued) {
        refuse(incoming.request, true, refusalName(enqueued.error().reason), enqueued.error().retryAfter);
        return false;
    }
    ++m_queued;
    return true;
}

bool RequestHandler::dispatch(const IncomingRequest &incoming, ServerIndex server, TimePoint now)
{
    PendingRequest *pending = m_pending.add(incoming.request, now);
    if (!pending) {
        refuse(incoming.request, true, refusalName(RefusalReason::RequestTableFull));
        return false;
    }
    pending->deadline = incoming.deadline;
    pending->wallDeadline = incoming.wallDeadline;
    pending->idempotent = incoming.idempotent;
    pending->owner = incoming.owner;
    ServiceState &state = m_services[incoming.service->id];
    state.retryBudget.recordRequest();
    // Only requests that may go to another server can be retried. With flow affinity, all requests of a flow go to one server.
    const bool canRetry = incoming.idempotent && incoming.service->service.affinity() == Affinity::Request;
    if (canRetry) {
        pending->payload.assign(incoming.payload.begin(), incoming.payload.end());
    }
    m_pending.schedule(*pending, canRetry ? now + (pending->deadline - now) / 2 : pending->deadline);
    pending->server = server;
    pending->sentAt = now;
    ++pending->attempts;
    ++loadOf(server).inFlight;
    ++m_counters.toServers;
    m_output.sendToServer(m_router.servers().server(server).address,
        ProxyHeader({ .source = incoming.request.caller, .destination = incoming.request.service, .deadline = incoming.wallDeadline }),
        incoming.payload);
    return true;
}

void RequestHandler::handleResponse(const RoutedService &service, ServerIndex server, const RequestId &request, const RpcEnvelope &envelope,
    std::span<const std::uint8_t> payload, TimePoint now)
{
    const auto matched = m_pending.matchResponse(request, server);
    if (!matched) {
        ++(matched.error() == ResponseMismatch::WrongServer ? m_counters.crossedAnswers : m_counters.strayAnswers);
        return;
    }
    PendingRequest &pending = **matched;
    if (m_observer && !envelope.notRun) {
        m_observer->recordResponseTime(now - pending.sentAt);
    }
    if (envelope.notRun && retry(pending, true, now)) {
        return;
    }
    if (envelope.notRun && !pending.allAttemptsRefused) {
        refuse(request, false, timeoutReason); // the first attempt timed out and may have run
    } else {
        sendToCaller(request, payload);
    }
    if (!pending.idempotent) {
        handleOwnedResponse(request, envelope, payload);
    }
    if (!pending.owner.isUnset()) {
        m_output.sendToInstance(
            pending.owner, ProxyHeader({ .source = request.service, .destination = request.caller, .hops = 1 }), payload);
    }
    m_services[service.id].queue.recordServiceTime(now - pending.sentAt);
    completeRequest(pending);
    dispatchQueued(service, now);
}

void RequestHandler::handleOwnedResponse(const RequestId &request, const RpcEnvelope &envelope, std::span<const std::uint8_t> payload)
{
    if (envelope.notRun) {
        m_outcomes.remove(request);
    } else {
        m_outcomes.storeResponse(request, payload);
    }
}

/**
 * Sends a request to another server, if a retry is possible and the retry budget and the deadline allow it.
 * @param wasRefused whether the previous server refused the request as not run; otherwise the attempt there is cancelled
 * @return whether the request was sent
 */
bool RequestHandler::retry(PendingRequest &pending, bool wasRefused, TimePoint now)
{
    const RoutedService *service = m_router.services().service(pending.request.service);
    if (!service || pending.payload.empty() || pending.attempts > 1 || now >= pending.deadline) {
        return false;
    }
    ServiceState &state = m_services[service->id];
    const std::uint64_t key = flowKey(pending.request.caller, pending.request.service);
    const ServerIndex retryServer = chooseServer(*service, state, key, pending.server, now);
    if (retryServer == noServer || !state.retryBudget.takeRetry()) {
        return false;
    }
    if (!wasRefused) {
        pending.allAttemptsRefused = false;
        sendCancellation(pending);
    }
    --loadOf(pending.server).inFlight;
    pending.server = retryServer;
    pending.sentAt = now;
    ++pending.attempts;
    ++loadOf(retryServer).inFlight;
    ++m_counters.toServers;
    ++m_counters.retries;
    m_pending.schedule(pending, pending.deadline);
    m_output.sendToServer(m_router.servers().server(retryServer).address,
        ProxyHeader({ .source = pending.request.caller, .destination = pending.request.service, .deadline = pending.wallDeadline }),
        pending.payload);
    return true;
}

void RequestHandler::completeRequest(PendingRequest &pending)
{
    --loadOf(pending.server).inFlight;
    m_pending.remove(pending);
}

void RequestHandler::tick(TimePoint now)
{
    while (PendingRequest *pending = m_pending.takeDue(now)) {
        handleTimeout(*pending, now);
    }
    m_outcomes.expire(now);
    if (m_queued == 0) {
        return; // iterating over 6,200 services every 10 ms would take several percent of a core
    }
    for (auto &[id, state] : m_services) {
        const RoutedService *service = m_router.services().service(id);
        // Queued requests of a service that was removed from the configuration can't be sent any more, so all of them expire.
        refuseExpired(state, service ? now : TimePoint::max());
        if (service) {
            dispatchQueued(*service, now);
        }
    }
}

void RequestHandler::handleTimeout(PendingRequest &pending, TimePoint now)
{
    m_router.health().recordTimeout(m_router.servers().server(pending.server).backendServerId, pending.sentAt, now);
    if (now < pending.deadline) {
        if (!retry(pending, false, now)) {
            m_pending.schedule(pending, pending.deadline);
        }
        return;
    }
    const RoutedService *service = m_router.services().service(pending.request.service);
    refuse(pending.request, false, timeoutReason);
    sendCancellation(pending);
    completeRequest(pending);
    if (service) {
        dispatchQueued(*service, now);
    }
}

/** Sends queued requests of a service while backend servers have free slots. */
void RequestHandler::dispatchQueued(const RoutedService &service, TimePoint now)
{
    ServiceState &state = m_services[service.id];
    while (state.queue.size() > 0) {
        const ServerIndex server = chooseServer(service, state, m_random.next(), noServer, now);
        const auto queued = server == noServer ? std::nullopt : state.queue.take(now);
        if (!queued) {
            return;
        }
        --m_queued;
        const IncomingRequest incoming { .service = &service,
            .request = queued->request,
            .idempotent = queued->idempotent,
            .deadline = queued->deadline,
            .wallDeadline = queued->wallDeadline,
            .payload = queued->payload };
        if (!dispatch(incoming, server, now) && !queued->idempotent) {
            m_outcomes.remove(queued->request);
        }
    }
}

void RequestHandler::refuseExpired(ServiceState &state, TimePoint now)
{
    while (const auto expired = state.queue.takeExpired(now)) {
        --m_queued;
        refuse(expired->request, true, refusalName(RefusalReason::DeadlinePassed));
        if (!expired->idempotent) {
            m_outcomes.remove(expired->request);
        }
    }
}

ServerIndex RequestHandler::chooseServer(
    const RoutedService &service, ServiceState &state, std::uint64_t key, ServerIndex excluded, TimePoint now)
{
    m_candidates.clear();
    for (const ServerIndex index : service.placement->servers()) {
        const RoutedServer &server = m_router.servers().server(index);
        const ServerLoad &load = loadOf(index);
        const bool hasFreeSlot = load.inFlight < slotShare(server);
        if (index == excluded || !hasFreeSlot || !server.takesNewWork || server.weight == 0
            || !m_router.health().isUp(server.backendServerId, now)) {
            continue;
        }
        const bool isRecent = now - load.reportedAt < maxLoadReportAge;
        m_candidates.push_back({ index, server.nameHash, server.slots, load.inFlight, isRecent ? load.reported : 0,
            server.failureDomain == m_settings.failureDomain });
    }
    return state.chooser ? state.chooser->choose(m_candidates, key, m_random) : noServer;
}

void RequestHandler::updateServerLoad(ServerIndex server, const LoadReport &report, TimePoint now)
{
    ServerLoad &load = loadOf(server);
    load.reported = static_cast<std::uint32_t>(report.inFlight) + report.queued;
    load.reportedAt = now;
}

void RequestHandler::forwardToInstance(const IncomingRequest &incoming, const Member &instance)
{
    ++m_counters.forwarded;
    m_output.sendToInstance(instance.dataAddress(),
        ProxyHeader({ .source = incoming.request.caller,
            .destination = incoming.request.service,
            .deadline = incoming.wallDeadline,
            .hops = static_cast<std::uint8_t>(incoming.hops + 1),
            .acceptedByOwner = incoming.acceptedByOwner }),
        incoming.payload);
}

bool RequestHandler::isLiveInstance(Endpoint dataAddress) const
{
    const Member *member = m_router.view().memberAt(dataAddress);
    return member && member->state() != MemberState::Dead;
}

void RequestHandler::sendCancellation(const PendingRequest &pending)
{
    ++m_counters.cancellations;
    m_output.sendToServer(m_router.servers().server(pending.server).address,
        ProxyHeader({ .source = pending.request.caller, .destination = pending.request.service, .cancelledRequest = pending.request.id }),
        {});
}

void RequestHandler::refuse(const RequestId &request, bool notRun, std::string_view reason, std::chrono::milliseconds retryAfter)
{
    ++(notRun ? m_counters.notRun : m_counters.unknown);
    const RoutedService *service = m_router.services().service(request.service);
    const RpcRefusal refusal(
        request.id, notRun ? "not_run" : "unknown", reason, service ? service->policy.name() : std::string_view(), retryAfter);
    sendToCaller(request, refusal.bytes());
}

void RequestHandler::sendToCaller(const RequestId &request, std::span<const std::uint8_t> payload)
{
    ++m_counters.toCallers;
    m_output.sendToFabric(ProxyHeader({ .source = request.service, .destination = request.caller }), payload);
}

/**
 * Returns how many requests this instance may have in flight at a server: its share of the slots among the live instances. The limit
 * makes requests queue at the instances instead of the servers.
 */
std::uint32_t RequestHandler::slotShare(const RoutedServer &server) const
{
    return std::max(1U, server.slots / m_liveInstances);
}

RequestHandler::ServerLoad &RequestHandler::loadOf(ServerIndex server)
{
    if (server >= m_serverLoads.size()) {
        m_serverLoads.resize(server + 1);
    }
    return m_serverLoads[server];
}

std::size_t RequestHandler::pendingCount() const
{
    return m_pending.size() + m_queued;
}

std::size_t RequestHandler::unfinishedCount() const
{
    return pendingCount() + m_outcomes.size();
}

} // namespace Samphirepitch
