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

    /** Starts an empty batch for the socket @p descriptor. */
    explicit SendBatch(int descriptor);
    SendBatch(const SendBatch &) = delete;
    SendBatch &operator=(const SendBatch &) = delete;

    /** Adds a datagram, whose bytes must stay valid until the next flush(); a full batch is flushed first. */
    void add(Endpoint target, std::span<const std::uint8_t> bytes);

    /** Sends all datagrams of the batch without blocking; what the socket does not take is dropped. */
    void flush();

    std::uint64_t sent() const;
    std::uint64_t dropped() const;

private:
    int m_descriptor;
    std::size_t m_size = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_dropped = 0;
    std::array<sockaddr_in, capacity> m_targets {};
    std::array<iovec, capacity> m_vectors {};
    std::array<mmsghdr, capacity> m_messages {};
};

} // namespace Samphirepitch::StandIn
