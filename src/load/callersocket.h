#pragma once

#include "core/endpoint.h"
#include "core/error.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/udp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>

namespace Samphirepitch
{

/** The UDP socket of one flow of a caller. */
class CallerSocket : public std::enable_shared_from_this<CallerSocket>
{
public:
    using Receiver = std::function<void(std::uint64_t flow, Endpoint from, std::span<const char> datagram)>;

    /**
     * Binds a free port and starts to receive.
     * @param flow number of the flow
     * @param source IPv4 address in host byte order
     * @param receiver gets each datagram until close()
     */
    static Result<std::shared_ptr<CallerSocket>> open(
        const asio::any_io_executor &executor, std::uint64_t flow, std::uint32_t source, Receiver receiver);

    std::uint64_t flow() const;

    /** Returns the bound address; unset after close(). */
    Endpoint address() const;

    /** Sends without waiting. @return whether the socket took the datagram */
    bool send(Endpoint to, std::span<const char> datagram);

    /** Ends the flow. */
    void close();

private:
    CallerSocket(const asio::any_io_executor &executor, std::uint64_t flow, Receiver receiver);

    static asio::awaitable<void> receive(std::shared_ptr<CallerSocket> self);

    asio::ip::udp::socket m_socket;
    const std::uint64_t m_flow;
    Receiver m_receiver;
};

} // namespace Samphirepitch
