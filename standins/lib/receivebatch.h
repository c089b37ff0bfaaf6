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

/** Receives up to 64 datagrams with one system call; sockets of one thread share a batch. */
class ReceiveBatch
{
public:
    static constexpr std::size_t capacity = 64; /**< datagrams */
    static constexpr std::size_t maxDatagramSize = 16 * 1024; /**< bytes; longer datagrams are cut */
    static constexpr std::size_t headroom = ProxyHeader::maxSize; /**< free bytes in front of each datagram */

    ReceiveBatch();
    ReceiveBatch(const ReceiveBatch &) = delete;
    ReceiveBatch &operator=(const ReceiveBatch &) = delete;

    /** Replaces the content by the datagrams that wait on @p descriptor, without blocking. @return their number */
    std::size_t receive(int descriptor);

    /** Returns whether a datagram was longer than maxDatagramSize and lost its end. */
    bool isCut(std::size_t index) const;

    /** Returns the bytes of a datagram; empty if it was cut. */
    std::span<std::uint8_t> datagram(std::size_t index);

    /** Puts a header in front of a datagram. @return header and datagram */
    std::span<std::uint8_t> withHeader(std::size_t index, const ProxyHeader &header);

    Endpoint sender(std::size_t index) const;

private:
    static constexpr std::size_t slotSize = headroom + maxDatagramSize;

    std::vector<std::uint8_t> m_bytes;
    std::array<sockaddr_in, capacity> m_senders {};
    std::array<iovec, capacity> m_vectors {};
    std::array<mmsghdr, capacity> m_messages {};
};

} // namespace Samphirepitch::StandIn
