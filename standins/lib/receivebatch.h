#pragma once

#include "core/endpoint.h"
#include "data/proxyheader.h"

#include <array>
#include <cstdint>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace Samphirepitch::StandIn
{

/** Receives up to 64 datagrams with one system call. The sockets of one thread share a batch to save memory. */
class ReceiveBatch
{
public:
    static constexpr std::size_t capacity = 64; /**< datagrams */
    static constexpr std::size_t maxDatagramSize = 16 * 1024; /**< bytes; longer datagrams are truncated */
    static constexpr std::size_t headroom = ProxyHeader::maxSize; /**< bytes; room for a header in front of each datagram */

    ReceiveBatch();
    ReceiveBatch(const ReceiveBatch &) = delete;
    ReceiveBatch &operator=(const ReceiveBatch &) = delete;

    /**
     * Replaces the content by the datagrams that a socket has received; doesn't block.
     * @param descriptor file descriptor of the socket
     * @return number of datagrams, 0..capacity; 0 also after an error
     */
    std::size_t receive(int descriptor);

    /** Returns whether a datagram was longer than maxDatagramSize and was truncated. */
    bool isTruncated(std::size_t index) const;

    /** Returns the bytes of a datagram; empty if it was truncated. Valid until the next receive(). */
    std::span<std::uint8_t> datagram(std::size_t index);

    /** Writes a header in front of a datagram, without a copy of the datagram. @return header and datagram; valid until the next receive()
     */
    std::span<std::uint8_t> prependHeader(std::size_t index, const ProxyHeader &header);

    /** Returns the source address of a datagram. */
    Endpoint sender(std::size_t index) const;

private:
    static constexpr std::size_t slotSize = headroom + maxDatagramSize;

    std::vector<std::uint8_t> m_bytes;
    std::array<sockaddr_in, capacity> m_senders {};
    std::array<iovec, capacity> m_buffers {};
    std::array<mmsghdr, capacity> m_messages {};
};

} // namespace Samphirepitch::StandIn
