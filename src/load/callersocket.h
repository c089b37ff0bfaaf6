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

/** The UDP socket of one flow of a caller; its bound address and port identify the flow. */
class CallerSocket : public std::enable_shared_from_this<CallerSocket>
{
public:
    using Receiver = std::function<void(std::uint64_t flow, Endpoint from, std::span<const char> datagram)>;

    /**
     * Binds a free port and starts to receive.
     * @param executor runs the socket; has a single thread
     * @param flow number of the flow, passed to @p receiver
     * @param source IPv4 address to bind, in host byte order
     * @param receiver called with each datagram until close()
     * @return the socket, or InputOutput if it cannot be opened or bound
     */
    static Result<std::shared_ptr<CallerSocket>> open(
        const asio::any_io_executor &executor, std::uint64_t flow, std::uint32_t source, Receiver receiver);

    std::uint64_t flow() const;

    /** Returns the bound address and port, or an unset endpoint after close(). */
    Endpoint address() const;

    /** Sends a datagram without blocking. @return whether the socket accepted it */
    bool send(Endpoint to, std::span<const char> datagram);

    /** Closes the socket; the receiver is not called again. */
    void close();

private:
    CallerSocket(const asio::any_io_executor &executor, std::uint64_t flow, Receiver receiver);

    static asio::awaitable<void> receive(std::shared_ptr<CallerSocket> self);

    asio::ip::udp::socket m_socket;
    const std::uint64_t m_flow;
    Receiver m_receiver;
};

} // namespace Samphirepitch
