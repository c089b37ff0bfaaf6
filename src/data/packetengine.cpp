#include "data/packetengine.h"

#include "membership/memberview.h"
#include "routing/flowkey.h"

#include <algorithm>

namespace Samphirepitch
{

PacketEngine::PacketEngine(RequestSettings requests, std::size_t maxFlows, const Clock &clock, RandomSource &random, EventSink &events,
    PacketOutput &output, FlowExceptionTransport *transport)
    : m_clock(clock)
    , m_events(events)
    , m_output(output)
    , m_router({ requests.instance, maxFlows }, transport)
    , m_requests(requests, m_router, random, output, m_counters, clock.now())
{
}

void PacketEngine::configurationChanged(const ConfigGeneration &generation)
{
    m_router.configurationChanged(generation, m_clock.now());
    m_requests.configurationChanged();
}

void PacketEngine::memberViewChanged(std::shared_ptr<const MemberView> view)
{
    m_router.memberViewChanged(view, m_clock.now());
    m_requests.memberViewChanged(std::move(view), m_clock.now());
}

void PacketEngine::frontDatagram(std::span<const std::uint8_t> datagram, Endpoint sender, TimePoint now)
{
    ++m_counters.fromFabric;
    std::span<const std::uint8_t> payload;
    const auto header = ProxyHeader::decode(datagram, payload);
    if (!header || header->hops() > Router::maxHops) {
        ++m_counters.malformed;
        return;
    }
    const RoutedService *service = m_router.services().service(header->destination());
    if (!service && header->hops() > 0 && m_router.services().service(header->source())) {
        instanceAnswer(*header, payload, sender);
        return;
    }
    if (!service) {
        ++m_counters.unknownService;
        m_events.record(EventSeverity::Warning, "unknown_service", { { "address", header->destination().toString() } });
        return;
    }
    if (service->service.protocol() == Protocol::Opaque) {
        flowPacket(*service, *header, payload, now);
        return;
    }
    const auto envelope = RpcEnvelope::decode(payload);
    if (!envelope || envelope->kind == RpcKind::Response) {
        ++m_counters.malformed;
    } else if (envelope->kind == RpcKind::Request) {
        requestPacket(*service, *header, *envelope, payload, sender, now);
    } else {
        flowPacket(*service, *header, payload, now);
    }
}

/** Takes the answer to a request that this instance, as its owner, sent to the owner of its flow. */
void PacketEngine::instanceAnswer(const ProxyHeader &header, std::span<const std::uint8_t> payload, Endpoint sender)
{
    const auto envelope = RpcEnvelope::decode(payload);
    if (!envelope || envelope->kind != RpcKind::Response || !m_router.view().memberAt(sender)) {
        ++m_counters.malformed;
        return;
    }
    m_requests.answerOfOwned({ header.destination(), header.source(), envelope->id }, *envelope, payload);
}

void PacketEngine::flowPacket(const RoutedService &service, const ProxyHeader &header, std::span<const std::uint8_t> payload, TimePoint now)
{
    const RouteDecision decision = m_router.route(service, flowKey(header.source(), header.destination()), now, header.hops());
    ProxyHeader::Fields fields { .source = header.source(), .destination = header.destination() };
    switch (decision.action) {
    case RouteAction::Send:
        ++m_counters.toServers;
        m_output.toServer(m_router.servers().server(decision.server).address, ProxyHeader(fields), payload);
        break;
    case RouteAction::Forward:
        ++m_counters.forwarded;
        fields.hops = static_cast<std::uint8_t>(header.hops() + 1);
        m_output.toInstance(decision.instance->dataAddress(), ProxyHeader(fields), payload);
        break;
    case RouteAction::Refuse:
        ++m_counters.dropped;
        break;
    }
}

void PacketEngine::requestPacket(const RoutedService &service, const ProxyHeader &header, const RpcEnvelope &envelope,
    std::span<const std::uint8_t> payload, Endpoint sender, TimePoint now)
{
    const std::uint64_t wallNow = static_cast<std::uint64_t>(m_clock.wallNow().time_since_epoch().count());
    const std::uint64_t longest = wallNow + static_cast<std::uint64_t>(service.policy.requestTimeout().count());
    const std::uint64_t wallDeadline = std::min(header.deadline().value_or(longest), longest);
    const auto left = std::chrono::milliseconds(wallDeadline > wallNow ? wallDeadline - wallNow : 0);
    m_requests.request({ .service = &service,
                           .request = { header.source(), header.destination(), envelope.id },
                           .sender = sender,
                           .hops = header.hops(),
                           .admitted = header.admitted(),
                           .idempotent = service.isIdempotent(envelope.method),
                           .deadline = now + left,
                           .wallDeadline = wallDeadline,
                           .payload = payload },
        now);
}

void PacketEngine::backDatagram(std::span<const std::uint8_t> datagram, Endpoint sender, TimePoint now)
{
    ++m_counters.fromServers;
    std::span<const std::uint8_t> payload;
    const auto header = ProxyHeader::decode(datagram, payload);
    if (!header) {
        ++m_counters.malformed;
        return;
    }
    const RoutedService *service = m_router.services().service(header->source());
    if (!service) {
        ++m_counters.unknownService;
        return;
    }
    const ServerIndex server = m_router.servers().find(service->id, sender);
    if (server == noServer) {
        ++m_counters.foreignSender;
        return;
    }
    m_router.health().recordResponse(m_router.servers().server(server).backendServerId, now);
    if (header->load()) {
        m_requests.loadReported(server, *header->load(), now);
    }
    answerPacket(*service, server, *header, payload, now);
}

void PacketEngine::answerPacket(
    const RoutedService &service, ServerIndex server, const ProxyHeader &header, std::span<const std::uint8_t> payload, TimePoint now)
{
    if (service.service.protocol() == Protocol::Opaque) {
        toCaller(header, payload);
        return;
    }
    if (payload.empty() && header.load()) {
        return; // a load report without an answer
    }
    const auto envelope = RpcEnvelope::decode(payload);
    if (!envelope || envelope->kind == RpcKind::Request) {
        ++m_counters.malformed;
    } else if (envelope->kind == RpcKind::Notification) {
        toCaller(header, payload);
    } else {
        m_requests.answer(service, server, { header.destination(), header.source(), envelope->id }, *envelope, payload, now);
    }
}

void PacketEngine::toCaller(const ProxyHeader &header, std::span<const std::uint8_t> payload)
{
    ++m_counters.toCallers;
    m_output.toFabric(ProxyHeader({ .source = header.source(), .destination = header.destination() }), payload);
}

void PacketEngine::tick(TimePoint now)
{
    m_requests.tick(now);
    m_router.sweep(now, sweepSlots);
}

void PacketEngine::writeMetrics(MetricWriter &writer) const
{
    const auto packets = [&writer](std::string_view kind, std::uint64_t value) {
        writer.counter("samphirepitch_packets_total", "Datagrams by what happened to them.", { { "kind", kind } }, value);
    };
    packets("from_fabric", m_counters.fromFabric);
    packets("from_servers", m_counters.fromServers);
    packets("to_servers", m_counters.toServers);
    packets("to_callers", m_counters.toCallers);
    packets("forwarded", m_counters.forwarded);
    packets("malformed", m_counters.malformed);
    packets("unknown_service", m_counters.unknownService);
    packets("foreign_sender", m_counters.foreignSender);
    packets("stray_answer", m_counters.strayAnswers);
    packets("crossed_answer", m_counters.crossedAnswers);
    packets("dropped", m_counters.dropped);
    const auto requests = [&writer](std::string_view kind, std::uint64_t value) {
        writer.counter("samphirepitch_requests_total", "Requests by what happened to them.", { { "kind", kind } }, value);
    };
    requests("repeated", m_counters.repeatedRequests);
    requests("not_run", m_counters.notRun);
    requests("unknown", m_counters.unknown);
    requests("retried", m_counters.retries);
    requests("cancelled", m_counters.cancellations);
    const RouterCounters &flows = m_router.counters();
    writer.counter("samphirepitch_new_flows_total", "Flows that were placed.", {}, flows.newFlows);
    writer.counter("samphirepitch_broken_flows_total", "Flows that were placed anew.", {}, flows.brokenFlows);
    writer.counter("samphirepitch_exceptions_sent_total", "Flow keys sent to owners of moved buckets.", {}, flows.exceptionsSent);
    writer.counter("samphirepitch_exceptions_lost_total", "Flow keys without room.", {}, flows.exceptionsLost);
    writer.gauge("samphirepitch_held_flows", "Flows in the flow table.", {}, static_cast<double>(m_router.flows().size()));
    writer.gauge("samphirepitch_flow_exceptions", "Flows held for moved buckets.", {}, static_cast<double>(m_router.exceptionCount()));
    writer.gauge("samphirepitch_pending_requests", "Requests without an answer.", {}, static_cast<double>(m_requests.waiting()));
}

Router &PacketEngine::router()
{
    return m_router;
}

const Router &PacketEngine::router() const
{
    return m_router;
}

RequestHandler &PacketEngine::requests()
{
    return m_requests;
}

const RequestHandler &PacketEngine::requests() const
{
    return m_requests;
}

const PacketCounters &PacketEngine::counters() const
{
    return m_counters;
}

} // namespace Samphirepitch
