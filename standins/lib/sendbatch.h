#pragma once

#include "core/endpoint.h"
#include "lib/receivebatch.h"

#include <array>
#include <cstdint>
#include <span>

namespace Samphirepitch::StandIn
{

/** Sends up to 64 datagrams of one socket with one system call. */
class SendBatch
{
public:
    static constexpr std::size_t capacity = ReceiveBatch::capacity; /**< datagrams */

    /** @param descriptor file descriptor of the socket; must stay open as long as the batch is used */
    explicit SendBatch(int descriptor);
    SendBatch(const SendBatch &) = delete;
    SendBatch &operator=(const SendBatch &) = delete;

    /**
     * Adds a datagram; flushes first if the batch is full.
     * @param target destination address
     * @param bytes content, which must stay valid until the next flush()
     */
    void add(Endpoint target, std::span<const std::uint8_t> bytes);

    /** Sends all datagrams of the batch without blocking, and drops those that the socket refuses. */
    void flush();

    std::uint64_t sent() const;
    std::uint64_t dropped() const;

private:
    int m_descriptor;
    std::size_t m_size = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_dropped = 0;
    std::array<sockaddr_in, capacity> m_targets {};
    std::array<iovec, capacity> m_buffers {};
    std::array<mmsghdr, capacity> m_messages {};
};

} // namespace Samphirepitch::StandIn
