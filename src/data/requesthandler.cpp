#include "data/requesthandler.h"

#include "core/random.h"
#include "data/answerobserver.h"
#include "data/rpcrefusal.h"
#include "membership/memberview.h"
#include "routing/flowkey.h"

#include <algorithm>

namespace Samphirepitch
{

namespace
{

constexpr std::chrono::seconds loadReportAge { 1 }; // an older report says little, because demand varies within seconds
constexpr std::chrono::milliseconds retryAfterRefusal { 50 }; // time for a change of members or servers to spread
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
    , m_pending(m_settings.maxPending)
    , m_memory(m_settings.maxRemembered, m_settings.maxAnswerBytes)
    , m_quarantine(m_settings.instance, m_settings.isNewId, startedAt)
{
}

void RequestHandler::configurationChanged()
{
    for (const auto &[id, service] : m_router.services().services()) {
        ServiceState &state = m_services[id];
        if (!state.chooser) {
            state.chooser = ServerChooser::create(m_settings.chooser);
        }
        state.budget.setPercent(service->policy.retryBudgetPercent());
        std::size_t slots = 0;
        for (const ServerIndex server : service->placement->servers()) {
            slots += m_router.servers().server(server).takesNewWork ? slotShare(m_router.servers().server(server)) : 0;
        }
        state.queue.setLimits(service->policy.queueLimit(), slots);
    }
}

void RequestHandler::memberViewChanged(std::shared_ptr<const MemberView> view, TimePoint now)
{
    std::chrono::milliseconds longest { 0 };
    for (const auto &[id, service] : m_router.services().services()) {
        longest = std::max(longest, service->policy.repeatWindow());
    }
    const auto live = std::count_if(
        view->members().begin(), view->members().end(), [](const Member &member) { return member.state() == MemberState::Alive; });
    m_liveInstances = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(live));
    m_quarantine.memberViewChanged(std::move(view), longest, now);
    configurationChanged();
}

void RequestHandler::setAnswerObserver(AnswerObserver *observer)
{
    m_observer = observer;
}

void RequestHandler::setViewDeadline(TimePoint deadline)
{
    m_viewDeadline = deadline;
}

void RequestHandler::request(const IncomingRequest &incoming, TimePoint now)
{
    if (!incoming.idempotent) {
        placeOwned(incoming, now);
        return;
    }
    if (m_pending.find(incoming.request) || m_services[incoming.service->id].queue.contains(incoming.request)) {
        ++m_counters.repeatedRequests; // the caller gets the answer of the first one
        return;
    }
    if (now >= incoming.deadline) {
        refuse(incoming.request, true, refusalName(RefusalReason::DeadlinePassed));
        return;
    }
    start(incoming, now);
}

void RequestHandler::placeOwned(const IncomingRequest &incoming, TimePoint now)
{
    const OutcomeLookup known = m_memory.find(incoming.request);
    if (known.status != OutcomeStatus::New) {
        ++m_counters.repeatedRequests;
        if (known.status == OutcomeStatus::Answered) {
            answerCaller(incoming.request, known.response);
        } else {
            refuse(incoming.request, false, repeatedReason);
        }
        return;
    }
    // Only the owner knows whether a request was sent before, so that every other refusal says "unknown".
    if (now >= m_viewDeadline || now >= incoming.deadline) {
        refuse(incoming.request, false, now >= m_viewDeadline ? refusalName(RefusalReason::ViewExpired) : timeoutReason);
        return;
    }
    const std::chrono::milliseconds window = incoming.service->policy.repeatWindow();
    const bool isDelegated = incoming.admitted && isLiveInstance(incoming.sender);
    const OwnerDecision owner = isDelegated ? OwnerDecision { OwnerAction::DecideHere, nullptr }
                                            : m_quarantine.decide(incoming.request.key(), incoming.sender, incoming.hops, window, now);
    if (owner.action == OwnerAction::Forward) {
        forward(incoming, *owner.instance);
        return;
    }
    if (owner.action == OwnerAction::Unknown) {
        refuse(incoming.request, false, quarantineReason);
        return;
    }
    if (m_memory.addIfNew(incoming.request, now + window + RequestOwnership::maxClockSkew).status == OutcomeStatus::Full) {
        refuse(incoming.request, true, refusalName(RefusalReason::MemoryFull));
        return;
    }
    IncomingRequest accepted = incoming;
    accepted.owner = isDelegated ? incoming.sender : Endpoint();
    // Finding the owner may have taken all hops; the way from the owner to the owner of the flow counts anew.
    accepted.hops = isDelegated ? incoming.hops : 0;
    accepted.admitted = true;
    if (!start(accepted, now)) {
        m_memory.remove(incoming.request);
    }
}

/** Returns false if the request was refused as not run. */
bool RequestHandler::start(const IncomingRequest &incoming, TimePoint now)
{
    return incoming.service->service.affinity() == Affinity::Flow ? startByFlow(incoming, now) : startByChoice(incoming, now);
}

bool RequestHandler::startByFlow(const IncomingRequest &incoming, TimePoint now)
{
    const std::uint64_t key = flowKey(incoming.request.caller, incoming.request.service);
    const RouteDecision decision = m_router.route(*incoming.service, key, now, incoming.hops);
    switch (decision.action) {
    case RouteAction::Send:
        return dispatch(incoming, decision.server, now);
    case RouteAction::Forward:
        // The owner of the flow sends the request; a non-idempotent one stays in this memory as sent.
        forward(incoming, *decision.instance);
        return true;
    case RouteAction::Refuse:
        break;
    }
    refuse(incoming.request, true, refusalName(decision.reason), retryAfterRefusal);
    return false;
}

bool RequestHandler::startByChoice(const IncomingRequest &incoming, TimePoint now)
{
    ServiceState &state = m_services[incoming.service->id];
    const std::uint64_t key = flowKey(incoming.request.caller, incoming.request.service);
    const ServerIndex server = state.queue.size() > 0 ? noServer : choose(*incoming.service, state, key, noServer, now);
    if (server != noServer) {
        return dispatch(incoming, server, now);
    }
    QueuedRequest queued { incoming.request, incoming.deadline, incoming.wallDeadline, incoming.idempotent,
        { incoming.payload.begin(), incoming.payload.end() } };
    const auto admitted = state.queue.push(std::move(queued), now, m_random);
    if (!admitted) {
        refuse(incoming.request, true, refusalName(admitted.error().reason), admitted.error().retryAfter);
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
    state.budget.recordRequest();
    // Only requests that may go to another server can be retried; the requests of a flow stay together.
    const bool canRetry = incoming.idempotent && incoming.service->service.affinity() == Affinity::Request;
    if (canRetry) {
        pending->payload.assign(incoming.payload.begin(), incoming.payload.end());
    }
    m_pending.schedule(*pending, canRetry ? now + (pending->deadline - now) / 2 : pending->deadline);
    pending->server = server;
    pending->sentAt = now;
    ++pending->attempts;
    ++load(server).inFlight;
    ++m_counters.toServers;
    m_output.toServer(m_router.servers().server(server).address,
        ProxyHeader({ .source = incoming.request.caller, .destination = incoming.request.service, .deadline = incoming.wallDeadline }),
        incoming.payload);
    return true;
}

void RequestHandler::answer(const RoutedService &service, ServerIndex server, const RequestId &request, const RpcEnvelope &envelope,
    std::span<const std::uint8_t> payload, TimePoint now)
{
    const auto matched = m_pending.matchResponse(request, server);
    if (!matched) {
        ++(matched.error() == ResponseMismatch::WrongServer ? m_counters.crossedAnswers : m_counters.strayAnswers);
        return;
    }
    PendingRequest &pending = **matched;
    if (m_observer && !envelope.notRun) {
        m_observer->answered(now - pending.sentAt);
    }
    if (envelope.notRun && retry(pending, true, now)) {
        return;
    }
    if (envelope.notRun && !pending.allAttemptsRefused) {
        refuse(request, false, timeoutReason); // an earlier attempt may have run
    } else {
        answerCaller(request, payload);
    }
    if (!pending.idempotent) {
        answerOfOwned(request, envelope, payload);
    }
    if (!pending.owner.isUnset()) {
        m_output.toInstance(pending.owner, ProxyHeader({ .source = request.service, .destination = request.caller, .hops = 1 }), payload);
    }
    m_services[service.id].queue.recordServiceTime(now - pending.sentAt);
    finish(pending);
    pump(service, now);
}

void RequestHandler::answerOfOwned(const RequestId &request, const RpcEnvelope &envelope, std::span<const std::uint8_t> payload)
{
    if (envelope.notRun) {
        m_memory.remove(request);
    } else {
        m_memory.storeResponse(request, payload);
    }
}

/** Sends a request to another server, if it may run twice and the budget and the deadline allow it. */
bool RequestHandler::retry(PendingRequest &pending, bool wasRefused, TimePoint now)
{
    const RoutedService *service = m_router.services().service(pending.request.service);
    if (!service || pending.payload.empty() || pending.attempts > 1 || now >= pending.deadline) {
        return false;
    }
    ServiceState &state = m_services[service->id];
    const std::uint64_t key = flowKey(pending.request.caller, pending.request.service);
    const ServerIndex other = choose(*service, state, key, pending.server, now);
    if (other == noServer || !state.budget.takeRetry()) {
        return false;
    }
    if (!wasRefused) {
        pending.allAttemptsRefused = false;
        cancel(pending);
    }
    --load(pending.server).inFlight;
    pending.server = other;
    pending.sentAt = now;
    ++pending.attempts;
    ++load(other).inFlight;
    ++m_counters.toServers;
    ++m_counters.retries;
    m_pending.schedule(pending, pending.deadline);
    m_output.toServer(m_router.servers().server(other).address,
        ProxyHeader({ .source = pending.request.caller, .destination = pending.request.service, .deadline = pending.wallDeadline }),
        pending.payload);
    return true;
}

void RequestHandler::finish(PendingRequest &pending)
{
    --load(pending.server).inFlight;
    m_pending.remove(pending);
}

void RequestHandler::tick(TimePoint now)
{
    while (PendingRequest *pending = m_pending.takeDue(now)) {
        expire(*pending, now);
    }
    m_memory.expire(now);
    if (m_queued == 0) {
        return; // a pass over 6,200 services every 10 ms would cost several percent of a core
    }
    for (auto &[id, state] : m_services) {
        const RoutedService *service = m_router.services().service(id);
        // The requests of a service that was taken out of the configuration can't start any more.
        refuseLapsed(state, service ? now : TimePoint::max());
        if (service) {
            pump(*service, now);
        }
    }
}

void RequestHandler::expire(PendingRequest &pending, TimePoint now)
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
    cancel(pending);
    finish(pending);
    if (service) {
        pump(*service, now);
    }
}

/** Sends waiting requests as long as there are free slots. */
void RequestHandler::pump(const RoutedService &service, TimePoint now)
{
    ServiceState &state = m_services[service.id];
    while (state.queue.size() > 0) {
        const ServerIndex server = choose(service, state, m_random.next(), noServer, now);
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
            m_memory.remove(queued->request);
        }
    }
}

void RequestHandler::refuseLapsed(ServiceState &state, TimePoint now)
{
    while (const auto lapsed = state.queue.takeExpired(now)) {
        --m_queued;
        refuse(lapsed->request, true, refusalName(RefusalReason::DeadlinePassed));
        if (!lapsed->idempotent) {
            m_memory.remove(lapsed->request);
        }
    }
}

ServerIndex RequestHandler::choose(const RoutedService &service, ServiceState &state, std::uint64_t key, ServerIndex except, TimePoint now)
{
    m_candidates.clear();
    for (const ServerIndex index : service.placement->servers()) {
        const RoutedServer &server = m_router.servers().server(index);
        const ServerLoad &known = load(index);
        const bool isFree = known.inFlight < slotShare(server);
        if (index == except || !isFree || !server.takesNewWork || server.weight == 0
            || !m_router.health().isUp(server.backendServerId, now)) {
            continue;
        }
        const bool isRecent = now - known.reportedAt < loadReportAge;
        m_candidates.push_back({ index, server.nameHash, server.slots, known.inFlight, isRecent ? known.reported : 0,
            server.failureDomain == m_settings.failureDomain });
    }
    return state.chooser ? state.chooser->choose(m_candidates, key, m_random) : noServer;
}

void RequestHandler::loadReported(ServerIndex server, const LoadReport &report, TimePoint now)
{
    ServerLoad &known = load(server);
    known.reported = static_cast<std::uint32_t>(report.inFlight) + report.queued;
    known.reportedAt = now;
}

void RequestHandler::forward(const IncomingRequest &incoming, const Member &instance)
{
    ++m_counters.forwarded;
    m_output.toInstance(instance.dataAddress(),
        ProxyHeader({ .source = incoming.request.caller,
            .destination = incoming.request.service,
            .deadline = incoming.wallDeadline,
            .hops = static_cast<std::uint8_t>(incoming.hops + 1),
            .admitted = incoming.admitted }),
        incoming.payload);
}

bool RequestHandler::isLiveInstance(Endpoint dataAddress) const
{
    const Member *member = m_router.view().memberAt(dataAddress);
    return member && member->state() != MemberState::Dead;
}

void RequestHandler::cancel(const PendingRequest &pending)
{
    ++m_counters.cancellations;
    m_output.toServer(m_router.servers().server(pending.server).address,
        ProxyHeader({ .source = pending.request.caller, .destination = pending.request.service, .cancelledRequest = pending.request.id }),
        {});
}

void RequestHandler::refuse(const RequestId &request, bool notRun, std::string_view reason, std::chrono::milliseconds retryAfter)
{
    ++(notRun ? m_counters.notRun : m_counters.unknown);
    const RoutedService *service = m_router.services().service(request.service);
    const RpcRefusal refusal(
        request.id, notRun ? "not_run" : "unknown", reason, service ? service->policy.name() : std::string_view(), retryAfter);
    answerCaller(request, refusal.bytes());
}

void RequestHandler::answerCaller(const RequestId &request, std::span<const std::uint8_t> payload)
{
    ++m_counters.toCallers;
    m_output.toFabric(ProxyHeader({ .source = request.service, .destination = request.caller }), payload);
}

/** Requests that this instance may have outstanding at a server, so that requests wait at instances and not at servers. */
std::uint32_t RequestHandler::slotShare(const RoutedServer &server) const
{
    return std::max(1U, server.slots / m_liveInstances);
}

RequestHandler::ServerLoad &RequestHandler::load(ServerIndex server)
{
    if (server >= m_loads.size()) {
        m_loads.resize(server + 1);
    }
    return m_loads[server];
}

std::size_t RequestHandler::waiting() const
{
    return m_pending.size() + m_queued;
}

std::size_t RequestHandler::unfinished() const
{
    return waiting() + m_memory.size();
}

} // namespace Samphirepitch
