#pragma once

#include "core/eventsink.h"
#include "core/metricsource.h"
#include "data/requesthandler.h"
#include "membership/memberlistener.h"

namespace Samphirepitch
{

/**
 * Processes the datagrams of an instance independently of sockets: received datagrams are passed in with the current time, and
 * datagrams to send are passed to a PacketOutput. DataPath connects it to UDP sockets; tests and load drivers use their own
 * transport. Not thread-safe.
 */
class PacketEngine : public ConfigListener, public MemberListener, public MetricSource
{
public:
    /** Slots of the flow table that each tick scans for idle flows. With a tick every 10 ms, 400,000 slots take 4 s. */
    static constexpr std::size_t sweepSlotsPerTick = 1000;

    /**
     * @param requestSettings identity of the instance and limits of its requests
     * @param maxFlows capacity of the flow table
     * @param clock time source; must outlive the engine
     * @param random random source for load balancing and retry times; must outlive the engine
     * @param events receiver of operational events; must outlive the engine
     * @param output sender of datagrams; must outlive the engine
     * @param transport sender of flow exceptions, which must outlive the engine; null if there are no other instances
     */
    PacketEngine(RequestSettings requestSettings, std::size_t maxFlows, const Clock &clock, RandomSource &random, EventSink &events,
        PacketOutput &output, FlowExceptionTransport *transport);

    void configurationChanged(const ConfigGeneration &generation) override;
    void memberViewChanged(std::shared_ptr<const MemberView> view) override;
    void writeMetrics(MetricWriter &writer) const override;

    /**
     * Processes a datagram from the fabric or from another instance. Datagrams without a valid header are counted and dropped.
     * @param datagram the whole datagram, header included
     * @param sender source address of the datagram
     * @param now current time
     */
    void handleFrontendDatagram(std::span<const std::uint8_t> datagram, Endpoint sender, TimePoint now);

    /**
     * Processes a datagram from a backend server. Datagrams from addresses that are not servers of the service are counted and
     * dropped.
     * @param datagram the whole datagram, header included
     * @param sender source address of the datagram
     * @param now current time
     */
    void handleBackendDatagram(std::span<const std::uint8_t> datagram, Endpoint sender, TimePoint now);

    /** Handles request deadlines and removes idle flows; to be called every few milliseconds. */
    void tick(TimePoint now);

    Router &router();
    const Router &router() const;
    RequestHandler &requestHandler();
    const RequestHandler &requestHandler() const;
    const PacketCounters &counters() const;

private:
    void handleFlowPacket(const RoutedService &service, const ProxyHeader &header, std::span<const std::uint8_t> payload, TimePoint now);
    void handleRequestPacket(const RoutedService &service, const ProxyHeader &header, const RpcEnvelope &envelope,
        std::span<const std::uint8_t> payload, Endpoint sender, TimePoint now);
    void handleResponsePacket(
        const RoutedService &service, ServerIndex server, const ProxyHeader &header, std::span<const std::uint8_t> payload, TimePoint now);
    void handleLateResponse(const ProxyHeader &header, std::span<const std::uint8_t> payload, Endpoint sender, TimePoint now);
    void handleInstanceResponse(const ProxyHeader &header, std::span<const std::uint8_t> payload, Endpoint sender);
    void sendToCaller(const ProxyHeader &header, std::span<const std::uint8_t> payload);

    const Clock &m_clock;
    EventSink &m_events;
    PacketOutput &m_output;
    PacketCounters m_counters;
    Router m_router;
    RequestHandler m_requestHandler;
};

} // namespace Samphirepitch
