#include "data/packetengine.h"

#include "membership/memberview.h"
#include "routing/flowkey.h"

#include <algorithm>

namespace Samphirepitch
{

PacketEngine::PacketEngine(RequestSettings requestSettings, std::size_t maxFlows, const Clock &clock, RandomSource &random,
    EventSink &events, PacketOutput &output, FlowExceptionTransport *transport)
    : m_clock(clock)
    , m_events(events)
    , m_output(output)
    , m_router({ requestSettings.instance, maxFlows }, transport)
    , m_requestHandler(requestSettings, m_router, random, output, m_counters, clock.now())
{
}

void PacketEngine::configurationChanged(const ConfigGeneration &generation)
{
    m_router.configurationChanged(generation, m_clock.now());
    m_requestHandler.configurationChanged();
}

void PacketEngine::memberViewChanged(std::shared_ptr<const MemberView> view)
{
    m_router.memberViewChanged(view, m_clock.now());
    m_requestHandler.memberViewChanged(std::move(view), m_clock.now());
}

void PacketEngine::handleFrontendDatagram(std::span<const std::uint8_t> datagram, Endpoint sender, TimePoint now)
{
    ++m_counters.fromFabric;
    std::span<const std::uint8_t> payload;
    const auto header = ProxyHeader::decode(datagram, payload);
    if (!header || header->hops() > Router::maxHops) {
        ++m_counters.malformed;
        return;
    }
    const RoutedService *service = m_router.services().service(header->destination());
    const auto isOfKnownService = [this, now](Endpoint address) {
        return m_router.services().service(address) != nullptr || m_router.services().removedService(address, now) != nullptr;
    };
    if (!service && header->hops() > 0 && isOfKnownService(header->source())) {
        handleInstanceResponse(*header, payload, sender);
        return;
    }
    if (!service) {
        ++m_counters.unknownService;
        m_events.record(EventSeverity::Warning, "unknown_service", { { "address", header->destination().toString() } });
        return;
    }
    if (service->service.protocol() == Protocol::Opaque) {
        handleFlowPacket(*service, *header, payload, now);
        return;
    }
    const auto envelope = RpcEnvelope::decode(payload);
    if (!envelope || envelope->kind == RpcKind::Response) {
        ++m_counters.malformed;
    } else if (envelope->kind == RpcKind::Request) {
        handleRequestPacket(*service, *header, *envelope, payload, sender, now);
    } else {
        handleFlowPacket(*service, *header, payload, now);
    }
}

/** Processes the response to a request that this instance, as owner of the request, forwarded to the owner of its flow. */
void PacketEngine::handleInstanceResponse(const ProxyHeader &header, std::span<const std::uint8_t> payload, Endpoint sender)
{
    const auto envelope = RpcEnvelope::decode(payload);
    if (!envelope || envelope->kind != RpcKind::Response || !m_router.view().memberAt(sender)) {
        ++m_counters.malformed;
        return;
    }
    m_requestHandler.handleOwnedResponse({ header.destination(), header.source(), envelope->id }, *envelope, payload);
}

void PacketEngine::handleFlowPacket(
    const RoutedService &service, const ProxyHeader &header, std::span<const std::uint8_t> payload, TimePoint now)
{
    const RouteDecision decision = m_router.route(service, flowKey(header.source(), header.destination()), now, header.hops());
    ProxyHeader::Fields fields { .source = header.source(), .destination = header.destination() };
    switch (decision.action) {
    case RouteAction::Send:
        ++m_counters.toServers;
        m_output.sendToServer(m_router.servers().server(decision.server).address, ProxyHeader(fields), payload);
        break;
    case RouteAction::Forward:
        ++m_counters.forwarded;
        fields.hops = static_cast<std::uint8_t>(header.hops() + 1);
        m_output.sendToInstance(decision.instance->dataAddress(), ProxyHeader(fields), payload);
        break;
    case RouteAction::Refuse:
        ++m_counters.dropped;
        break;
    }
}

void PacketEngine::handleRequestPacket(const RoutedService &service, const ProxyHeader &header, const RpcEnvelope &envelope,
    std::span<const std::uint8_t> payload, Endpoint sender, TimePoint now)
{
    const std::uint64_t wallNow = static_cast<std::uint64_t>(m_clock.wallNow().time_since_epoch().count());
    const std::uint64_t latestDeadline = wallNow + static_cast<std::uint64_t>(service.policy.requestTimeout().count());
    const std::uint64_t wallDeadline = std::min(header.deadline().value_or(latestDeadline), latestDeadline);
    const auto remaining = std::chrono::milliseconds(wallDeadline > wallNow ? wallDeadline - wallNow : 0);
    m_requestHandler.handleRequest({ .service = &service,
                                       .request = { header.source(), header.destination(), envelope.id },
                                       .sender = sender,
                                       .hops = header.hops(),
                                       .acceptedByOwner = header.acceptedByOwner(),
                                       .idempotent = service.isIdempotent(envelope.method),
                                       .deadline = now + remaining,
                                       .wallDeadline = wallDeadline,
                                       .payload = payload },
        now);
}

void PacketEngine::handleBackendDatagram(std::span<const std::uint8_t> datagram, Endpoint sender, TimePoint now)
{
    ++m_counters.fromServers;
    std::span<const std::uint8_t> payload;
    const auto header = ProxyHeader::decode(datagram, payload);
    if (!header) {
        ++m_counters.malformed;
        return;
    }
    const RoutedService *service = m_router.services().service(header->source());
    const ServerIndex server = service ? m_router.servers().find(service->id, sender) : noServer;
    if (server == noServer && m_router.services().removedService(header->source(), now)) {
        handleLateResponse(*header, payload, sender, now);
        return;
    }
    if (!service) {
        ++m_counters.unknownService;
        return;
    }
    if (server == noServer) {
        ++m_counters.foreignSender;
        return;
    }
    m_router.health().recordResponse(m_router.servers().server(server).backendServerId, now);
    if (header->load()) {
        m_requestHandler.updateServerLoad(server, *header->load(), now);
    }
    handleResponsePacket(*service, server, *header, payload, now);
}

/** Delivers the response to a request that was sent before its service was removed. Nothing else of that service is passed on. */
void PacketEngine::handleLateResponse(const ProxyHeader &header, std::span<const std::uint8_t> payload, Endpoint sender, TimePoint now)
{
    const RoutedService &service = *m_router.services().removedService(header.source(), now);
    const ServerIndex server = m_router.servers().find(service.id, sender);
    if (server == noServer) {
        ++m_counters.foreignSender;
        return;
    }
    const auto envelope = RpcEnvelope::decode(payload);
    if (service.service.protocol() == Protocol::Opaque || !envelope || envelope->kind != RpcKind::Response) {
        ++m_counters.unknownService;
        return;
    }
    m_requestHandler.handleResponse(service, server, { header.destination(), header.source(), envelope->id }, *envelope, payload, now);
}

void PacketEngine::handleResponsePacket(
    const RoutedService &service, ServerIndex server, const ProxyHeader &header, std::span<const std::uint8_t> payload, TimePoint now)
{
    if (service.service.protocol() == Protocol::Opaque) {
        sendToCaller(header, payload);
        return;
    }
    if (payload.empty() && header.load()) {
        return; // a load report without a response
    }
    const auto envelope = RpcEnvelope::decode(payload);
    if (!envelope || envelope->kind == RpcKind::Request) {
        ++m_counters.malformed;
    } else if (envelope->kind == RpcKind::Notification) {
        sendToCaller(header, payload);
    } else {
        m_requestHandler.handleResponse(service, server, { header.destination(), header.source(), envelope->id }, *envelope, payload, now);
    }
}

void PacketEngine::sendToCaller(const ProxyHeader &header, std::span<const std::uint8_t> payload)
{
    ++m_counters.toCallers;
    m_output.sendToFabric(ProxyHeader({ .source = header.source(), .destination = header.destination() }), payload);
}

void PacketEngine::tick(TimePoint now)
{
    m_requestHandler.tick(now);
    m_router.sweep(now, sweepSlotsPerTick);
}

void PacketEngine::writeMetrics(MetricWriter &writer) const
{
    const auto writePackets = [&writer](std::string_view kind, std::uint64_t value) {
        writer.counter("samphirepitch_packets_total", "Datagrams by processing result.", { { "kind", kind } }, value);
    };
    writePackets("from_fabric", m_counters.fromFabric);
    writePackets("from_servers", m_counters.fromServers);
    writePackets("to_servers", m_counters.toServers);
    writePackets("to_callers", m_counters.toCallers);
    writePackets("forwarded", m_counters.forwarded);
    writePackets("malformed", m_counters.malformed);
    writePackets("unknown_service", m_counters.unknownService);
    writePackets("foreign_sender", m_counters.foreignSender);
    writePackets("stray_answer", m_counters.strayAnswers);
    writePackets("crossed_answer", m_counters.crossedAnswers);
    writePackets("dropped", m_counters.dropped);
    const auto writeRequests = [&writer](std::string_view kind, std::uint64_t value) {
        writer.counter("samphirepitch_requests_total", "Requests by processing result.", { { "kind", kind } }, value);
    };
    writeRequests("repeated", m_counters.repeatedRequests);
    writeRequests("not_run", m_counters.notRun);
    writeRequests("unknown", m_counters.unknown);
    writeRequests("retried", m_counters.retries);
    writeRequests("cancelled", m_counters.cancellations);
    const RouterCounters &flows = m_router.counters();
    writer.counter("samphirepitch_new_flows_total", "Flows that were placed on a backend server.", {}, flows.newFlows);
    writer.counter("samphirepitch_broken_flows_total", "Flows that were placed again on another backend server.", {}, flows.brokenFlows);
    writer.counter("samphirepitch_exceptions_sent_total", "Flow keys sent to the owners of moved buckets.", {}, flows.exceptionsSent);
    writer.counter(
        "samphirepitch_exceptions_lost_total", "Flow keys dropped because the exception table was full.", {}, flows.exceptionsLost);
    writer.gauge("samphirepitch_held_flows", "Flows held in the flow table.", {}, static_cast<double>(m_router.flows().size()));
    writer.gauge(
        "samphirepitch_flow_exceptions", "Flow exceptions held for moved buckets.", {}, static_cast<double>(m_router.exceptionCount()));
    writer.gauge("samphirepitch_pending_requests", "Requests that wait for a response or a slot.", {},
        static_cast<double>(m_requestHandler.pendingCount()));
}

Router &PacketEngine::router()
{
    return m_router;
}

const Router &PacketEngine::router() const
{
    return m_router;
}

RequestHandler &PacketEngine::requestHandler()
{
    return m_requestHandler;
}

const RequestHandler &PacketEngine::requestHandler() const
{
    return m_requestHandler;
}

const PacketCounters &PacketEngine::counters() const
{
    return m_counters;
}

} // namespace Samphirepitch
