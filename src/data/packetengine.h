#pragma once

#include "core/eventsink.h"
#include "core/metricsource.h"
#include "data/requesthandler.h"
#include "membership/memberlistener.h"

namespace Samphirepitch
{

/**
 * Decides about every datagram of an instance without sockets: takes datagrams and the current time, and gives datagrams to a
 * PacketOutput. DataPath drives it with UDP sockets; a test or a driver with its own transport. Not thread-safe.
 */
class PacketEngine : public ConfigListener, public MemberListener, public MetricSource
{
public:
    /** Slots of the flow table that each tick looks at for idle flows; a tick each 10 ms goes round 400,000 slots in 4 s. */
    static constexpr std::size_t sweepSlots = 1000;

    /**
     * @param output must outlive the engine, as clock, random and events
     * @param transport carries flow exceptions; null if there are no other instances
     */
    PacketEngine(RequestSettings requests, std::size_t maxFlows, const Clock &clock, RandomSource &random, EventSink &events,
        PacketOutput &output, FlowExceptionTransport *transport);

    void configurationChanged(const ConfigGeneration &generation) override;
    void memberViewChanged(std::shared_ptr<const MemberView> view) override;
    void writeMetrics(MetricWriter &writer) const override;

    /** Takes a datagram from the fabric or from another instance. */
    void frontDatagram(std::span<const std::uint8_t> datagram, Endpoint sender, TimePoint now);

    /** Takes a datagram from a backend server. */
    void backDatagram(std::span<const std::uint8_t> datagram, Endpoint sender, TimePoint now);

    /** Handles deadlines and idle flows. */
    void tick(TimePoint now);

    Router &router();
    const Router &router() const;
    RequestHandler &requests();
    const RequestHandler &requests() const;
    const PacketCounters &counters() const;

private:
    void flowPacket(const RoutedService &service, const ProxyHeader &header, std::span<const std::uint8_t> payload, TimePoint now);
    void requestPacket(const RoutedService &service, const ProxyHeader &header, const RpcEnvelope &envelope,
        std::span<const std::uint8_t> payload, Endpoint sender, TimePoint now);
    void answerPacket(
        const RoutedService &service, ServerIndex server, const ProxyHeader &header, std::span<const std::uint8_t> payload, TimePoint now);
    void instanceAnswer(const ProxyHeader &header, std::span<const std::uint8_t> payload, Endpoint sender);
    void toCaller(const ProxyHeader &header, std::span<const std::uint8_t> payload);

    const Clock &m_clock;
    EventSink &m_events;
    PacketOutput &m_output;
    PacketCounters m_counters;
    Router m_router;
    RequestHandler m_requests;
};

} // namespace Samphirepitch
