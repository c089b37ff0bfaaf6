#include "shortage/crowdmodel.h"

#include <algorithm>
#include <cmath>

namespace Samphirepitch::Tests
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds wayTime { 1 }; // from an instance to a server, and from there to the client
constexpr milliseconds tickInterval { 25 };
constexpr milliseconds heldTickInterval { 5 };
constexpr milliseconds retransmissionTime { 200 };
constexpr milliseconds deadServerTime { 60 }; // until a client learns that its server is gone
constexpr double workSpread = 0.5; // of the log-normal work
constexpr auto service = "pond";
constexpr std::uint32_t serviceAddress = 0xc6120001;

} // namespace

double CrowdResult::share() const
{
    return owed == 0 ? 1 : earned / owed;
}

double CrowdOutcome::share() const
{
    double owed = 0;
    double earned = 0;
    for (const CrowdResult &kind : kinds) {
        owed += kind.owed;
        earned += kind.earned;
    }
    return owed == 0 ? 1 : earned / owed;
}

CrowdModel::CrowdModel(CrowdRule rule, std::size_t instances, std::size_t servers, std::vector<CrowdKind> kinds, std::uint64_t seed)
    : m_rule(rule)
    , m_kinds(std::move(kinds))
    , m_arrivals(seed)
    , m_choices(seed + 1)
    , m_servers(servers)
    , m_instances(instances)
{
    m_configuration.version = 1;
    for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
        StreamRoute route { .name = "r" + std::to_string(kind),
            .address = Endpoint(serviceAddress, static_cast<std::uint16_t>(443 + kind)),
            .targets = { { service, 1 } },
            .idempotent = m_kinds[kind].longFlows,
            .priority = m_kinds[kind].priority,
            .timeLimit = m_kinds[kind].timeLimit,
            .targetLatency = m_kinds[kind].target };
        m_configuration.routes.emplace(route.address, route);
        m_routes.push_back(std::move(route));
    }
    m_outcome.kinds.resize(m_kinds.size());
    startInstances();
}

const EventCollector &CrowdModel::events() const
{
    return m_instances.front().events;
}

void CrowdModel::startInstances()
{
    ++m_start;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        Instance &instance = m_instances[index];
        instance.flows.assign(m_servers.size(), 0);
        instance.admission = std::make_unique<FlowAdmission>(FlowAdmission::Dependencies { m_clock, instance.events });
        instance.admission->applyConfiguration(m_configuration);
        // Instances don't tick at the same moments.
        const auto offset = std::chrono::microseconds(m_choices.below(25000));
        schedule(offset, [this, index, start = m_start] { tickInstance(index, start); });
    }
}

void CrowdModel::schedule(std::chrono::nanoseconds time, std::function<void()> work)
{
    m_events.push({ m_clock.now() + time, m_order++, std::move(work) });
}

CrowdOutcome CrowdModel::play(const std::vector<CrowdPhase> &phases, std::size_t countFrom)
{
    TimePoint start = m_clock.now();
    for (std::size_t index = 0; index < phases.size(); ++index) {
        const TimePoint end = start + phases[index].length;
        schedule(
            start - m_clock.now(), [this, phase = phases[index], end, counted = index >= countFrom] { beginPhase(phase, end, counted); });
        start = end;
    }
    const TimePoint end = start + milliseconds(2000); // for the last requests
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_clock.advance(event.at - m_clock.now());
        event.work();
    }
    return m_outcome;
}

void CrowdModel::beginPhase(const CrowdPhase &phase, TimePoint end, bool counted)
{
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        Server &server = m_servers[index];
        const bool runs = index < phase.servers;
        if (server.running && !runs) {
            ++server.life;
            server.busy = 0;
            for (const auto &[request, delivery] : std::exchange(server.queue, {})) {
                schedule(deadServerTime, [this, request = request, delivery = delivery] {
                    if (m_requests[request].delivery == delivery) {
                        failAttempt(request);
                    }
                });
            }
        }
        server.running = runs;
        server.slowdown = index < phase.slowServers ? phase.slowdown : 1;
    }
    // Response times are compared with the median server, so slow servers are known only if they are a minority.
    m_knowsSlow = true;
    if (phase.instancesStart) {
        startInstances();
    }
    for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
        arriveNext(kind, phase.requestsPerSecond[kind], end, counted);
    }
}

void CrowdModel::arriveNext(std::size_t kind, double rate, TimePoint end, bool counted)
{
    if (rate <= 0) {
        return;
    }
    const double pause = -std::log(1 - m_arrivals.uniform()) / rate;
    const std::chrono::nanoseconds time(std::llround(pause * 1e9));
    if (m_clock.now() + time >= end) {
        return;
    }
    // The work is drawn here, so that it is the same for each rule.
    const double normal = std::sqrt(-2 * std::log(1 - m_arrivals.uniform())) * std::cos(2 * 3.14159265358979 * m_arrivals.uniform());
    const double factor = std::exp(workSpread * normal - workSpread * workSpread / 2);
    const auto work
        = std::chrono::nanoseconds(std::llround(static_cast<double>(std::chrono::nanoseconds(m_kinds[kind].work).count()) * factor));
    schedule(time, [this, kind, rate, end, counted, work] {
        m_requests.push_back({ .kind = kind, .work = work, .arrivedAt = m_clock.now(), .counted = counted });
        const std::size_t request = m_requests.size() - 1;
        if (counted) {
            m_outcome.kinds[kind].owed += m_kinds[kind].credit;
            ++m_outcome.kinds[kind].requests;
        }
        schedule(m_kinds[kind].timeLimit, [this, request] { give(request); });
        if (m_rule == CrowdRule::IdealQueue) {
            m_idealQueue.push_back(request);
            serveIdeal();
        } else {
            // A long flow that is open is at a random instance and server.
            Request &added = m_requests[request];
            added.opens = !m_kinds[kind].longFlows;
            attempt(request);
        }
        arriveNext(kind, rate, end, counted);
    });
}

void CrowdModel::tickInstance(std::size_t index, std::uint64_t start)
{
    if (start != m_start) {
        return;
    }
    FlowAdmission &admission = *m_instances[index].admission;
    std::uint32_t usable = 0;
    for (std::size_t server = 0; server < m_servers.size(); ++server) {
        usable += useOf(server) == ServerUse::Usable ? slots : 0;
    }
    if (m_rule == CrowdRule::Admission) {
        admission.setUsableSlots(service, usable);
        admission.tick(m_instances.size(), nullptr, [this](std::uint32_t token) { return useOf(token - 1); });
        resolve(index);
    }
    schedule(admission.holdsAny() ? heldTickInterval : tickInterval, [this, index, start] { tickInstance(index, start); });
}

void CrowdModel::attempt(std::size_t number)
{
    Request &request = m_requests[number];
    request.instance = m_choices.below(m_instances.size());
    request.client = Endpoint(0x64400000 + ++m_nextClient, 1);
    if (!request.opens) {
        request.server = m_choices.below(m_servers.size());
        if (!m_servers[request.server].running) {
            request.opens = true; // its client has lost the flow and opens another one
        }
    }
    decide(number);
}

void CrowdModel::decide(std::size_t number)
{
    Request &request = m_requests[number];
    if (request.done) {
        return;
    }
    if (m_rule == CrowdRule::LeastFlows) {
        send(number);
        return;
    }
    const StreamRoute &route = m_routes[request.kind];
    const std::uint32_t token = request.opens ? 0 : static_cast<std::uint32_t>(request.server + 1);
    const ServerUse use = request.opens ? ServerUse::Usable : useOf(request.server);
    const FlowAdmission::Verdict verdict
        = m_instances[request.instance].admission->decide({ request.client, route.address, &route, service, token, request.opens, use });
    request.waits = verdict == FlowAdmission::Verdict::Hold;
    if (verdict == FlowAdmission::Verdict::Admit) {
        send(number);
    } else if (verdict == FlowAdmission::Verdict::Refuse) {
        failAttempt(number);
    }
    resolve(request.instance);
}

void CrowdModel::resolve(std::size_t index)
{
    for (const HeldResolution &resolution : m_instances[index].admission->takeResolved()) {
        // Each attempt has a client of its own.
        const auto found = std::find_if(
            m_requests.rbegin(), m_requests.rend(), [&resolution](const Request &request) { return request.client == resolution.client; });
        if (found == m_requests.rend()) {
            continue; // of an attempt that has ended since
        }
        const auto number = static_cast<std::size_t>(m_requests.rend() - found) - 1;
        Request &request = m_requests[number];
        if (request.done || !request.waits) {
            continue;
        }
        request.waits = false;
        if (resolution.kind == HeldResolution::Kind::Release) {
            send(number);
        } else {
            failAttempt(number);
        }
    }
}

ServerUse CrowdModel::useOf(std::size_t server) const
{
    if (!m_servers[server].running) {
        return ServerUse::Unusable;
    }
    return m_knowsSlow && m_servers[server].slowdown >= FlowPlacement::slowThreshold ? ServerUse::Slow : ServerUse::Usable;
}

std::size_t CrowdModel::placeLeastFlows(Instance &instance)
{
    std::vector<std::size_t> best;
    double bestCost = 0;
    for (std::size_t server = 0; server < m_servers.size(); ++server) {
        if (!m_servers[server].running) {
            continue;
        }
        const double slowdown = m_knowsSlow ? m_servers[server].slowdown : 1;
        const double cost = (instance.flows[server] + 1) * slowdown * slowdown;
        if (best.empty() || cost < bestCost) {
            best.clear();
            bestCost = cost;
        }
        if (cost == bestCost) {
            best.push_back(server);
        }
    }
    return best[m_choices.below(best.size())];
}

void CrowdModel::send(std::size_t number)
{
    Request &request = m_requests[number];
    Instance &instance = m_instances[request.instance];
    const std::uint32_t delivery = ++request.delivery;
    request.sentAt = m_clock.now();
    const Endpoint address = m_routes[request.kind].address;
    if (!request.opens) {
        instance.admission->recordRequest(request.client, address, static_cast<std::uint32_t>(request.server + 1));
        schedule(wayTime, [this, number, delivery] { arriveAtServer(number, delivery); });
        return;
    }
    request.server = placeLeastFlows(instance);
    ++instance.flows[request.server];
    schedule(2 * wayTime, [this, number, delivery, address, start = m_start] {
        Request &opened = m_requests[number];
        if (opened.done || opened.delivery != delivery || start != m_start) {
            return;
        }
        FlowAdmission &admission = *m_instances[opened.instance].admission;
        admission.recordOpened(opened.client, address, 2 * wayTime);
        admission.recordRequest(opened.client, address, static_cast<std::uint32_t>(opened.server + 1));
        opened.sentAt = m_clock.now();
        schedule(wayTime, [this, number, delivery] { arriveAtServer(number, delivery); });
    });
}

void CrowdModel::arriveAtServer(std::size_t number, std::uint32_t delivery)
{
    const Request &request = m_requests[number];
    if (request.done || request.delivery != delivery) {
        return;
    }
    Server &server = m_servers[request.server];
    if (!server.running) {
        schedule(deadServerTime, [this, number, delivery] {
            if (m_requests[number].delivery == delivery) {
                failAttempt(number);
            }
        });
        return;
    }
    m_outcome.arrivals += request.counted ? 1 : 0;
    if (server.busy < slots) {
        run(request.server, number);
    } else if (server.queue.size() < queueSize) {
        server.queue.emplace_back(number, delivery);
    } else {
        m_outcome.rejected += request.counted ? 1 : 0;
        schedule(wayTime, [this, number, delivery] {
            Request &rejected = m_requests[number];
            if (!rejected.done && rejected.delivery == delivery) {
                m_instances[rejected.instance].admission->recordResponse(
                    rejected.client, m_routes[rejected.kind].address, m_clock.now() - rejected.sentAt);
                failAttempt(number);
            }
        });
    }
}

void CrowdModel::run(std::size_t index, std::size_t number)
{
    Server &server = m_servers[index];
    ++server.busy;
    const auto work = std::chrono::duration_cast<std::chrono::nanoseconds>(m_requests[number].work * server.slowdown);
    schedule(work, [this, index, number, life = server.life] { finish(index, number, life); });
}

void CrowdModel::finish(std::size_t index, std::size_t number, std::uint64_t life)
{
    Server &server = m_servers[index];
    if (life != server.life) {
        return; // the server went down while it ran the request
    }
    --server.busy;
    schedule(wayTime, [this, number, delivery = m_requests[number].delivery] {
        if (!m_requests[number].done && m_requests[number].delivery == delivery) {
            respond(number);
        }
    });
    if (m_rule == CrowdRule::IdealQueue) {
        serveIdeal();
        return;
    }
    while (!server.queue.empty() && server.busy < slots) {
        const auto [next, delivery] = server.queue.front();
        server.queue.pop_front();
        if (m_requests[next].delivery == delivery) { // a server runs requests whose client has given up as well
            run(index, next);
        }
    }
}

void CrowdModel::respond(std::size_t number)
{
    Request &request = m_requests[number];
    const CrowdKind &kind = m_kinds[request.kind];
    const auto time = m_clock.now() - request.arrivedAt;
    request.done = true;
    if (request.counted) {
        m_outcome.kinds[request.kind].earned += time <= kind.target ? kind.credit : kind.lateCredit;
    }
    if (m_rule != CrowdRule::IdealQueue) {
        Instance &instance = m_instances[request.instance];
        instance.admission->recordResponse(request.client, m_routes[request.kind].address, m_clock.now() - request.sentAt);
        if (request.opens && instance.flows[request.server] > 0) {
            --instance.flows[request.server];
        }
        resolve(request.instance);
    }
}

void CrowdModel::failAttempt(std::size_t number)
{
    Request &request = m_requests[number];
    if (request.done) {
        return;
    }
    Instance &instance = m_instances[request.instance];
    instance.admission->recordEnd(request.client, m_routes[request.kind].address);
    if (request.delivery > 0 && request.opens && instance.flows[request.server] > 0) {
        --instance.flows[request.server];
    }
    ++request.delivery;
    m_outcome.kinds[request.kind].refused += request.counted ? 1 : 0;
    if (!request.opens && !request.waits && request.sentAt == TimePoint()) {
        // The data of an open flow was dropped, so the client sends it again.
        schedule(retransmissionTime, [this, number] { decide(number); });
        return;
    }
    if (++request.attempt >= maxAttempts) {
        give(number);
        return;
    }
    request.opens = true;
    schedule(2 * wayTime, [this, number] {
        if (!m_requests[number].done) {
            attempt(number);
        }
    });
}

void CrowdModel::give(std::size_t number)
{
    Request &request = m_requests[number];
    if (request.done) {
        return;
    }
    request.done = true;
    if (m_rule == CrowdRule::IdealQueue) {
        std::erase(m_idealQueue, number);
        return;
    }
    Instance &instance = m_instances[request.instance];
    instance.admission->recordEnd(request.client, m_routes[request.kind].address);
    if (request.delivery > 0 && request.opens && instance.flows[request.server] > 0) {
        --instance.flows[request.server];
    }
}

void CrowdModel::serveIdeal()
{
    const TimePoint now = m_clock.now();
    const auto key = [&](std::size_t number) {
        const Request &request = m_requests[number];
        const bool late = now + request.work > request.arrivedAt + m_kinds[request.kind].target;
        return std::tuple(m_kinds[request.kind].priority, late, -request.arrivedAt.time_since_epoch().count());
    };
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        while (m_servers[index].running && m_servers[index].busy < slots && !m_idealQueue.empty()) {
            const auto next = std::min_element(
                m_idealQueue.begin(), m_idealQueue.end(), [&key](std::size_t left, std::size_t right) { return key(left) < key(right); });
            const std::size_t number = *next;
            m_idealQueue.erase(next);
            run(index, number);
        }
    }
}

} // namespace Samphirepitch::Tests
