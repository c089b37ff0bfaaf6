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
 * Reads datagrams of a UDP socket in batches with recvmmsg, and writes datagrams in batches with sendmmsg. Receive buffers are
 * allocated by the first receive(); header and payload of an outgoing datagram are not joined by copying.
 */
class DatagramBatch
{
public:
    static constexpr std::size_t maxDatagrams = 64;
    static constexpr std::size_t prefixSize = 8; /**< bytes */
    static constexpr std::size_t maxDatagramSize = 65535; /**< bytes; a longer datagram can't exist in UDP over IPv4 */

    DatagramBatch();
    ~DatagramBatch();
    DatagramBatch(const DatagramBatch &) = delete;
    DatagramBatch &operator=(const DatagramBatch &) = delete;

    /**
     * Reads the datagrams that wait, without blocking.
     * @param socket a UDP socket
     * @return the number of datagrams, at most maxDatagrams; 0 if none waits
     */
    std::size_t receive(int socket);

    /** Returns a received datagram; valid until the next receive(). */
    std::span<const std::uint8_t> datagram(std::size_t index) const;

    /** Returns a received datagram that may be changed before it is sent on; valid until the next receive(). */
    std::span<std::uint8_t> mutableDatagram(std::size_t index);

    /** Returns where a received datagram came from. */
    Endpoint sender(std::size_t index) const;

    /**
     * Adds a datagram to be sent; sends what is there first if the batch is full.
     * @param payload must stay valid until flush(), unless @p copyPayload
     */
    void add(int socket, Endpoint receiver, const ProxyHeader &header, std::span<const std::uint8_t> payload, bool copyPayload);

    /** Adds a datagram without a header; @p bytes must stay valid until flush(). */
    void addRaw(int socket, Endpoint receiver, std::span<const std::uint8_t> bytes);

    /** Adds a datagram of @p prefix, which is copied, and @p bytes, which must stay valid until flush(). */
    void addPrefixed(int socket, Endpoint receiver, std::span<const std::uint8_t, prefixSize> prefix, std::span<const std::uint8_t> bytes);

    /** Sends what was added. Datagrams that the socket doesn't take are dropped, as UDP may. */
    void flush(int socket);

    /** Datagrams that the socket did not take. */
    std::uint64_t dropped() const;

private:
    struct Buffers;

    void allocateReceiveBuffers();

    std::unique_ptr<Buffers> m_buffers;
    std::size_t m_queued = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace Samphirepitch
