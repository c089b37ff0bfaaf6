#include "shortage/flowadmission.h"

#include "loadreport/loadview.h"
#include "routing/flowkey.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace Samphirepitch
{

namespace
{

using std::chrono::milliseconds;

// Weight of one opening in the average time on the way.
constexpr double networkStep = 0.1;

// The share of one instance stays within this factor of an equal share: the demand of one second is a rough estimate.
constexpr double maxShareFactor = 4;

// A queue holds at least this many requests, so that a small share still gives each kind of request a place.
constexpr std::size_t minQueueSize = 4;

std::string decimal(double value)
{
    const std::string text = std::to_string(std::llround(value * 10));
    return text.size() > 1 ? text.substr(0, text.size() - 1) + '.' + text.back() : "0." + text;
}

} // namespace

FlowAdmission::FlowAdmission(Dependencies dependencies)
    : m_clock(dependencies.clock)
    , m_events(dependencies.events)
{
}

void FlowAdmission::applyConfiguration(const StreamConfiguration &configuration)
{
    std::map<std::string, std::set<std::uint32_t>> priorities;
    std::map<std::string, milliseconds> targets;
    for (const auto &[address, route] : configuration.routes) {
        for (const RouteTarget &target : route.targets) {
            if (route.priority && target.weight > 0) {
                priorities[target.service].insert(*route.priority);
                milliseconds &shortest = targets[target.service];
                const bool isShorter = shortest.count() == 0 || route.targetLatency < shortest;
                shortest = route.targetLatency.count() > 0 && isShorter ? route.targetLatency : shortest;
            }
        }
    }
    for (const auto &[service, known] : priorities) {
        if (known.size() > 1) {
            ServiceLoadState &state = m_services[service];
            state.name = service;
            state.hasRules = true;
            state.mostUrgent = *known.begin();
            state.target = targets[service];
        }
    }
    // Requests in flight and held ones refer to their service, so tick() erases a service when nothing of it is left.
    for (auto &[name, service] : m_services) {
        const auto found = priorities.find(name);
        service.hasRules = found != priorities.end() && found->second.size() > 1;
    }
}

std::vector<std::string> FlowAdmission::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, service] : m_services) {
        if (service.hasRules) {
            names.push_back(name);
        }
    }
    return names;
}

void FlowAdmission::setUsableSlots(const std::string &service, std::uint32_t slots)
{
    if (const auto found = m_services.find(service); found != m_services.end()) {
        found->second.usableSlots = slots;
    }
}

ServiceLoadState *FlowAdmission::findService(const AdmissionRequest &request)
{
    const auto found = request.route->priority ? m_services.find(request.service) : m_services.end();
    return found == m_services.end() || !found->second.hasRules ? nullptr : &found->second;
}

FlowAdmission::Verdict FlowAdmission::decide(const AdmissionRequest &request)
{
    ServiceLoadState *const service = findService(request);
    if (service == nullptr || request.use != ServerUse::Usable) {
        return Verdict::Admit;
    }
    const std::uint64_t key = flowKey(request.client, request.address);
    if (m_inFlight.contains(key)) {
        return Verdict::Admit;
    }
    if (m_held.contains(key)) { // perhaps for another service of its route
        return Verdict::Hold;
    }
    const std::uint32_t priority = *request.route->priority;
    AdmissionCounts &counts = service->counts[priority];
    ++counts.offered;
    ++service->arrivals;
    // A request that waits already and is at least as urgent goes first.
    const bool isNext = service->queue.size() == 0 || priority == service->mostUrgent;
    if (isNext && service->mayStart(priority, m_clock.now())) {
        start(*service, key, priority, request.token);
        return Verdict::Admit;
    }
    return hold(*service, request);
}

FlowAdmission::Verdict FlowAdmission::hold(ServiceLoadState &service, const AdmissionRequest &request)
{
    const TimePoint now = m_clock.now();
    const StreamRoute &route = *request.route;
    const milliseconds timeLimit = route.timeLimit.count() > 0 ? route.timeLimit : openingTimeout;
    const milliseconds target = route.targetLatency.count() > 0 ? std::min(route.targetLatency, timeLimit) : timeLimit;
    const std::chrono::nanoseconds longestWait = std::chrono::duration_cast<std::chrono::nanoseconds>(target * waitPart);
    const std::chrono::nanoseconds shortestWait = std::chrono::duration_cast<std::chrono::nanoseconds>(target * minWaitPart);
    const std::chrono::nanoseconds left
        = target - std::chrono::duration_cast<std::chrono::nanoseconds>(service.limit.responseTime() * responseTimeReserve);
    // The backlog of a start is soon served, so that a wait costs less than another attempt.
    const bool isBacklog = service.limit.isStarting();
    const std::chrono::nanoseconds maxWait = isBacklog ? target : std::clamp(left, shortestWait, longestWait);
    service.queue.push({ .client = request.client,
        .address = request.address,
        .priority = *route.priority,
        .opens = request.opens,
        .arrivedAt = now,
        .targetDeadline = now + maxWait,
        .deadline = request.opens ? now + maxWait : now + timeLimit - service.limit.responseTime() });
    m_held.insert(flowKey(request.client, request.address));
    AdmissionCounts &counts = service.counts[*route.priority];
    ++counts.held;
    const double servable = service.limit.requestsPerSecond() * std::chrono::duration<double>(maxWait).count();
    const std::size_t maxSize
        = isBacklog ? std::numeric_limits<std::size_t>::max() : std::max(minQueueSize, static_cast<std::size_t>(servable));
    Verdict verdict = Verdict::Hold;
    for (const WaitingRequest &excess : service.queue.takeExcess(maxSize, now)) {
        if (excess.client == request.client && excess.address == request.address) {
            ++counts.refusedNoRoom;
            m_held.erase(flowKey(request.client, request.address));
            verdict = Verdict::Refuse;
        } else {
            resolve(service, excess, excess.opens ? HeldResolution::Kind::Refuse : HeldResolution::Kind::Discard, "no_room");
        }
    }
    return verdict;
}

void FlowAdmission::start(ServiceLoadState &service, std::uint64_t key, std::uint32_t priority, std::uint32_t token)
{
    const TimePoint now = m_clock.now();
    if (const auto earlier = m_inFlight.find(key); earlier != m_inFlight.end()) {
        finish(earlier);
    }
    AdmissionCounts &counts = service.counts[priority];
    ++counts.admitted;
    counts.lastAdmitted = now;
    service.limit.recordStart(priority == service.mostUrgent ? service.urgentInFlight : service.inFlight, now);
    ++service.inFlight;
    const bool urgent = priority == service.mostUrgent;
    service.urgentInFlight += urgent ? 1 : 0;
    m_inFlight[key] = { .service = &service, .urgent = urgent, .token = token, .startedAt = now, .deadline = now + idleTime };
}

FlowAdmission::InFlight::iterator FlowAdmission::finish(InFlight::iterator request)
{
    ServiceLoadState &service = *request->second.service;
    --service.inFlight;
    service.urgentInFlight -= request->second.urgent ? 1 : 0;
    return m_inFlight.erase(request);
}

void FlowAdmission::recordOpened(Endpoint client, Endpoint address, std::chrono::nanoseconds openingTime)
{
    const auto found = m_inFlight.find(flowKey(client, address));
    if (found == m_inFlight.end()) {
        return;
    }
    found->second.deadline = m_clock.now() + idleTime;
    const double time = std::chrono::duration<double, std::milli>(openingTime).count();
    double &network = found->second.service->networkMs;
    network = network == 0 ? time : network + (time - network) * networkStep;
}

void FlowAdmission::recordRequest(Endpoint client, Endpoint address, std::uint32_t token)
{
    const auto found = m_inFlight.find(flowKey(client, address));
    if (found == m_inFlight.end() || found->second.awaitsResponse) {
        return;
    }
    found->second.token = token;
    found->second.awaitsResponse = true;
    found->second.deadline = m_clock.now() + maxInFlightTime;
}

void FlowAdmission::recordResponse(Endpoint client, Endpoint address, std::chrono::nanoseconds responseTime)
{
    const auto found = m_inFlight.find(flowKey(client, address));
    if (found == m_inFlight.end()) {
        return;
    }
    ServiceLoadState &service = *found->second.service;
    const auto network = std::chrono::nanoseconds(std::llround(service.networkMs * 1e6));
    service.limit.recordResponse(m_clock.now() - found->second.startedAt, std::max(responseTime - network, std::chrono::nanoseconds(0)));
    finish(found);
    release(service);
}

void FlowAdmission::recordEnd(Endpoint client, Endpoint address)
{
    if (const auto found = m_inFlight.find(flowKey(client, address)); found != m_inFlight.end()) {
        finish(found);
    }
    for (auto &[name, service] : m_services) {
        if (service.queue.remove(client, address)) {
            m_held.erase(flowKey(client, address));
            m_resolved.push_back({ client, address, HeldResolution::Kind::Discard });
        }
    }
}

bool FlowAdmission::isHeld(Endpoint client, Endpoint address) const
{
    const std::uint64_t key = flowKey(client, address);
    return m_held.contains(key) || m_released.contains(key);
}

bool FlowAdmission::holdsAny() const
{
    return !m_held.empty();
}

void FlowAdmission::resolve(ServiceLoadState &service, const WaitingRequest &request, HeldResolution::Kind kind, std::string_view reason)
{
    if (kind != HeldResolution::Kind::Release) {
        AdmissionCounts &counts = service.counts[request.priority];
        ++(reason == "no_room" ? counts.refusedNoRoom : counts.refusedLate);
        const auto waited = std::chrono::duration_cast<milliseconds>(m_clock.now() - request.arrivedAt).count();
        m_events.record(EventSeverity::Warning, "request_refused",
            { { "flow", request.client.toString() + '>' + request.address.toString() }, { "service_name", service.name },
                { "priority", std::to_string(request.priority) }, { "reason", std::string(reason) },
                { "opens", request.opens ? "yes" : "no" }, { "waited_ms", std::to_string(waited) },
                { "held", std::to_string(service.queue.size()) } });
    }
    const std::uint64_t key = flowKey(request.client, request.address);
    m_held.erase(key);
    if (kind == HeldResolution::Kind::Release) {
        m_released.insert(key);
    }
    m_resolved.push_back({ request.client, request.address, kind });
}

void FlowAdmission::release(ServiceLoadState &service)
{
    const TimePoint now = m_clock.now();
    const auto sendNext = [&](WaitingRequest request) {
        start(service, flowKey(request.client, request.address), request.priority, 0);
        resolve(service, request, HeldResolution::Kind::Release, {});
    };
    for (const auto &[priority, counts] : service.counts) {
        if (service.queue.sizeOf(priority) > 0 && now >= counts.lastAdmitted + starvationInterval) {
            sendNext(*service.queue.pop(priority, now));
        }
    }
    while (service.queue.size() > 0) {
        const bool urgentWaits = service.queue.sizeOf(service.mostUrgent) > 0;
        const std::uint32_t least = service.counts.rbegin()->first;
        if (!service.mayStart(urgentWaits ? service.mostUrgent : std::max(least, service.mostUrgent + 1), now)) {
            return;
        }
        sendNext(*service.queue.pop(now));
    }
}

void FlowAdmission::expire(const std::function<ServerUse(std::uint32_t token)> &useOf)
{
    const TimePoint now = m_clock.now();
    for (auto request = m_inFlight.begin(); request != m_inFlight.end();) {
        const bool counts = request->second.token == 0 || useOf(request->second.token) == ServerUse::Usable;
        request = !counts || now >= request->second.deadline ? finish(request) : std::next(request);
    }
    for (auto &[name, service] : m_services) {
        for (const WaitingRequest &request : service.queue.takeExpired(now)) {
            resolve(service, request, request.opens ? HeldResolution::Kind::Refuse : HeldResolution::Kind::Discard, "late");
        }
    }
}

void FlowAdmission::tick(std::size_t instances, const LoadView *reports, const std::function<ServerUse(std::uint32_t token)> &useOf)
{
    const TimePoint now = m_clock.now();
    const std::chrono::nanoseconds elapsed = m_lastTick == TimePoint() ? std::chrono::nanoseconds(0) : now - m_lastTick;
    m_lastTick = now;
    expire(useOf);
    for (auto &[name, service] : m_services) {
        service.averageInFlight.record(static_cast<double>(service.inFlight), elapsed, ServiceLoadState::smoothing);
        service.averageUrgent.record(static_cast<double>(service.urgentInFlight), elapsed, ServiceLoadState::smoothing);
        if (elapsed.count() > 0) {
            const double rate = static_cast<double>(std::exchange(service.arrivals, 0)) / std::chrono::duration<double>(elapsed).count();
            service.requestsPerSecond.record(rate, elapsed, ServiceLoadState::demandSmoothing);
        }
        const auto estimate = reports == nullptr ? std::nullopt : reports->serviceLoad(name, now);
        const auto count = static_cast<double>(instances);
        double meanInFlight = service.atServers();
        double share = 1 / count;
        if (estimate) {
            const auto others = static_cast<double>(estimate->reports);
            meanInFlight = (meanInFlight + estimate->inFlight * others) / (others + 1);
            const double meanDemand = (service.requestsPerSecond.value() + estimate->requestsPerSecond * others) / (others + 1);
            if (meanDemand > 0) {
                share *= std::clamp(service.requestsPerSecond.value() / meanDemand, 1 / maxShareFactor, maxShareFactor);
            }
        }
        const double load = service.usableSlots == 0 ? 0 : meanInFlight * count / service.usableSlots;
        service.limit.setShare(service.usableSlots, share, load, service.target);
        const double urgentPart = service.averageInFlight.value() > 0 ? service.averageUrgent.value() / service.averageInFlight.value() : 0;
        service.urgentMonitor.record(meanInFlight * count * urgentPart, service.usableSlots, now);
        if (service.monitor.record(meanInFlight * count, service.usableSlots, now)) {
            logState(service, service.monitor.isShort(now), instances, reports);
        }
        release(service);
    }
    std::erase_if(m_services, [](const auto &entry) {
        const ServiceLoadState &service = entry.second;
        return !service.hasRules && service.inFlight == 0 && service.queue.size() == 0;
    });
}

void FlowAdmission::logState(const ServiceLoadState &service, bool isShort, std::size_t instances, const LoadView *reports)
{
    const TimePoint now = m_clock.now();
    const auto estimate = reports == nullptr ? std::nullopt : reports->serviceLoad(service.name, now);
    const auto age = estimate ? std::chrono::duration_cast<milliseconds>(now - estimate->oldest).count() : 0;
    m_events.record(isShort ? EventSeverity::Warning : EventSeverity::Info, isShort ? "service_short" : "service_ample",
        { { "service_name", service.name }, { "slots", std::to_string(service.usableSlots) },
            { "in_flight", decimal(service.averageInFlight.value()) }, { "at_servers", decimal(service.atServers()) },
            { "reported_at_servers", estimate ? decimal(estimate->inFlight) : "none" },
            { "reports", std::to_string(estimate ? estimate->reports : 0) }, { "reports_age_ms", std::to_string(age) },
            { "instances", std::to_string(instances) }, { "limit", decimal(service.limit.limit()) },
            { "response_ms", decimal(std::chrono::duration<double, std::milli>(service.limit.responseTime()).count()) },
            { "held", std::to_string(service.queue.size()) } });
}

std::vector<HeldResolution> FlowAdmission::takeResolved()
{
    m_released.clear();
    return std::exchange(m_resolved, {});
}

const ServiceLoadState *FlowAdmission::load(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() || !found->second.hasRules ? nullptr : &found->second;
}

void FlowAdmission::writeMetrics(MetricWriter &writer) const
{
    for (const auto &entry : m_services) {
        const std::string &name = entry.first;
        const ServiceLoadState &service = entry.second;
        writer.gauge("samphirepitch_service_short", "1 if the requests in flight use up the slots of a service, otherwise 0, by service.",
            { { "service", name } }, service.monitor.isShort(m_clock.now()) ? 1 : 0);
        writer.gauge("samphirepitch_service_usable_slots", "Requests that the usable servers of a service can run at a time, by service.",
            { { "service", name } }, service.usableSlots);
        writer.gauge("samphirepitch_requests_waiting", "Requests that wait in this instance for room, by service.", { { "service", name } },
            static_cast<double>(service.queue.size()));
        for (const auto &[priority, counts] : service.counts) {
            const std::string label = std::to_string(priority);
            const std::vector<MetricLabel> labels { { "service", name }, { "priority", label } };
            writer.counter("samphirepitch_requests_offered_total", "Requests to services with several priorities.", labels, counts.offered);
            writer.counter("samphirepitch_requests_admitted_total", "Requests that were sent to a server, at once or after a wait.", labels,
                counts.admitted);
            writer.counter("samphirepitch_requests_held_total", "Requests that had to wait for room.", labels, counts.held);
            const auto refused = [&](std::string_view reason, std::uint64_t count) {
                writer.counter("samphirepitch_requests_refused_total", "Requests that were refused or dropped for lack of room, by reason.",
                    { { "service", name }, { "priority", label }, { "reason", reason } }, count);
            };
            refused("no_room", counts.refusedNoRoom);
            refused("late", counts.refusedLate);
        }
    }
}

} // namespace Samphirepitch
