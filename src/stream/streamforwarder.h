#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/error.h"
#include "core/metricsource.h"
#include "data/datagrambatch.h"
#include "stream/connectprobe.h"
#include "stream/heldpackets.h"
#include "stream/packetcodec.h"
#include "stream/streamrouter.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/udp.hpp>

#include <memory>
#include <span>

namespace Samphirepitch
{

/** Owns the UDP socket of the instance: reads packets of clients, asks the router, and sends them on. */
class StreamForwarder : public MetricSource
{
public:
    /** What the plane needs; everything outlives it. */
    struct Dependencies {
        const Clock &clock;
        StreamRouter &router;
        const PacketCodec &codec;
        ConnectProbe &probe;
    };

    /**
     * Binds the socket.
     * @param address where the fabric sends packets; resets to clients go to the same port of the client
     * @return the plane, or InputOutput if the address cannot be bound
     */
    static Result<std::unique_ptr<StreamForwarder>> create(asio::any_io_executor executor, Dependencies dependencies, Endpoint address);

    /** Forwards packets until it is cancelled. */
    asio::awaitable<Result<void>> forwardPackets();

    /** Looks into late answers, makes the connections that the router asks for and sends resets, until it is cancelled. */
    asio::awaitable<Result<void>> runChecks();

    /** Sends the resets that became due outside of the packet task. */
    void sendResets();

    /** Forwards the packets that were held during the start, once the router is ready. */
    void sendHeld();

    /** Returns the bound address. */
    Endpoint address() const;

    void writeMetrics(MetricWriter &writer) const override;

private:
    StreamForwarder(asio::any_io_executor executor, Dependencies dependencies, Endpoint address);

    Result<void> bind();
    void forward(std::span<std::uint8_t> bytes);
    void sendReset(const StreamReset &reset);
    void startDueProbes();
    asio::awaitable<void> probe(ProbeTarget target);

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    StreamRouter &m_router;
    const PacketCodec &m_codec;
    ConnectProbe &m_probe;
    Endpoint m_address;
    asio::ip::udp::socket m_socket;
    DatagramBatch m_batch;
    HeldPackets m_heldPackets;
    std::uint64_t m_receivedCount = 0;
    std::uint64_t m_heldCount = 0;
    std::uint64_t m_resetsSent = 0;
    std::uint64_t m_probeCount = 0;
    std::size_t m_runningProbes = 0;
};

} // namespace Samphirepitch
