#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/error.h"
#include "core/metricsource.h"
#include "data/datagrambatch.h"
#include "shortage/waitingpackets.h"
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

/** Forwards the packets of stream flows: receives them on a UDP socket, and sends them to the servers that the router selects. */
class StreamForwarder : public MetricSource
{
public:
    /** The objects that the forwarder uses; all of them must outlive it. */
    struct Dependencies {
        const Clock &clock;
        StreamRouter &router;
        const PacketCodec &codec;
        ConnectProbe &probe;
    };

    /**
     * Creates a forwarder and binds its socket.
     * @param address where the fabric delivers packets; resets are sent to the same port at the address of the client
     * @return the forwarder, or InputOutput if the address cannot be bound
     */
    static Result<std::unique_ptr<StreamForwarder>> create(asio::any_io_executor executor, Dependencies dependencies, Endpoint address);

    /** Receives and forwards packets until it is cancelled, and then those that have arrived. @return InputOutput if the socket fails */
    asio::awaitable<Result<void>> forwardPackets();

    /**
     * Runs the periodic work until it is cancelled: forwards held packets, lets the router check for overdue responses, probes the servers
     * that the router names, and sends resets.
     */
    asio::awaitable<Result<void>> runChecks();

    /** Sends the resets that the router has queued. */
    void sendResets();

    /** Forwards the packets that were held during the start, if the router is ready. */
    void sendHeld();

    /** Sends, refuses or drops the packets of requests that waited for room, as the router has decided. */
    void sendResolved();

    /** Returns the bound address. */
    Endpoint address() const;

    void writeMetrics(MetricWriter &writer) const override;

private:
    StreamForwarder(asio::any_io_executor executor, Dependencies dependencies, Endpoint address);

    Result<void> bind();
    void forwardWaiting();
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
    WaitingPackets m_waitingPackets;
    std::uint64_t m_receivedCount = 0;
    std::uint64_t m_heldCount = 0;
    std::uint64_t m_unkeptCount = 0; // packets of waiting requests for which there was no space
    std::uint64_t m_resetsSent = 0;
    std::uint64_t m_probeCount = 0;
    std::size_t m_runningProbes = 0;
};

} // namespace Samphirepitch
