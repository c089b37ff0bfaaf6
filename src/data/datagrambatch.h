#pragma once

#include "core/endpoint.h"
#include "data/proxyheader.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

namespace Samphirepitch
{

/**
 * Receives batches of datagrams with recvmmsg and sends batches with sendmmsg. The receive buffers are allocated by the first call
 * of receive(). Outgoing datagrams are gathered from header and payload by the kernel, without copying them into one buffer.
 */
class DatagramBatch
{
public:
    static constexpr std::size_t maxDatagrams = 64;
    static constexpr std::size_t prefixSize = 8; /**< bytes of the prefix of addPrefixed() */
    static constexpr std::size_t maxDatagramSize = 65535; /**< bytes; UDP over IPv4 allows no longer datagram */

    DatagramBatch();
    ~DatagramBatch();
    DatagramBatch(const DatagramBatch &) = delete;
    DatagramBatch &operator=(const DatagramBatch &) = delete;

    /**
     * Reads the datagrams in the receive queue of a socket without blocking. Invalidates the datagrams of the previous call.
     * @param socket file descriptor of a UDP socket
     * @return the number of datagrams read, at most maxDatagrams; 0 if the queue is empty or the socket reports an error
     */
    std::size_t receive(int socket);

    /**
     * Returns a received datagram; valid until the next receive().
     * @param index position in the batch, less than the result of receive()
     */
    std::span<const std::uint8_t> datagram(std::size_t index) const;

    /** Returns a received datagram for modification before it is forwarded; otherwise as datagram(). */
    std::span<std::uint8_t> mutableDatagram(std::size_t index);

    /** Returns the source address of a received datagram. */
    Endpoint sender(std::size_t index) const;

    /**
     * Queues a datagram. Flushes first if the batch is full.
     * @param socket file descriptor of the UDP socket for that flush; a batch must hold datagrams for one socket only
     * @param receiver destination address of the datagram
     * @param header header, which is encoded at once
     * @param payload bytes after the header; must stay valid until flush(), unless @p copyPayload is set
     * @param copyPayload whether the batch keeps a copy of the payload
     */
    void add(int socket, Endpoint receiver, const ProxyHeader &header, std::span<const std::uint8_t> payload, bool copyPayload);

    /** Queues a datagram without a header, as add() does; @p bytes must stay valid until flush(). */
    void addRaw(int socket, Endpoint receiver, std::span<const std::uint8_t> bytes);

    /** Queues a datagram of @p prefix, which is copied, and @p bytes, which must stay valid until flush(). Otherwise as add(). */
    void addPrefixed(int socket, Endpoint receiver, std::span<const std::uint8_t, prefixSize> prefix, std::span<const std::uint8_t> bytes);

    /**
     * Sends the queued datagrams without blocking. Datagrams that the socket rejects, for example because its send buffer is full,
     * are dropped and counted.
     */
    void flush(int socket);

    /** Returns the number of datagrams that sockets rejected since construction. */
    std::uint64_t dropped() const;

private:
    struct Buffers;

    void allocateReceiveBuffers();

    std::unique_ptr<Buffers> m_buffers;
    std::size_t m_queued = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace Samphirepitch
