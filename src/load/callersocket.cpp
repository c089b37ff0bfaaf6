#include "load/callersocket.h"

#include <asio/buffer.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <array>

namespace Samphirepitch
{

namespace
{

using Udp = asio::ip::udp;

constexpr std::size_t maxDatagram = 16384; // bytes; twice the largest body of a scenario

// Shared by all sockets of a group: they run on one thread, and receivers keep no reference to the datagram.
thread_local std::array<char, maxDatagram> receiveBuffer;

} // namespace

Result<std::shared_ptr<CallerSocket>> CallerSocket::open(
    const asio::any_io_executor &executor, std::uint64_t flow, std::uint32_t source, Receiver receiver)
{
    std::shared_ptr<CallerSocket> socket(new CallerSocket(executor, flow, std::move(receiver)));
    const Udp::endpoint local(asio::ip::address_v4(source), 0);
    asio::error_code error;
    socket->m_socket.open(Udp::v4(), error);
    if (!error) {
        socket->m_socket.bind(local, error);
    }
    if (!error) {
        socket->m_socket.non_blocking(true, error);
    }
    if (error) {
        return failure(ErrorKind::InputOutput, local.address().to_string(),
            "no UDP socket can be opened for flow " + std::to_string(flow) + ": " + error.message());
    }
    asio::co_spawn(socket->m_socket.get_executor(), receive(socket), asio::detached);
    return socket;
}

CallerSocket::CallerSocket(const asio::any_io_executor &executor, std::uint64_t flow, Receiver receiver)
    : m_socket(executor)
    , m_flow(flow)
    , m_receiver(std::move(receiver))
{
}

std::uint64_t CallerSocket::flow() const
{
    return m_flow;
}

Endpoint CallerSocket::address() const
{
    asio::error_code error;
    const Udp::endpoint local = m_socket.local_endpoint(error);
    return error ? Endpoint() : Endpoint(local.address().to_v4().to_uint(), local.port());
}

bool CallerSocket::send(Endpoint to, std::span<const char> datagram)
{
    const Udp::endpoint remote(asio::ip::address_v4(to.address()), to.port());
    asio::error_code error;
    m_socket.send_to(asio::buffer(datagram.data(), datagram.size()), remote, 0, error);
    return !error;
}

void CallerSocket::close()
{
    m_receiver = nullptr;
    asio::error_code ignored;
    m_socket.close(ignored);
}

asio::awaitable<void> CallerSocket::receive(std::shared_ptr<CallerSocket> self)
{
    asio::error_code error;
    while (self->m_receiver) {
        co_await self->m_socket.async_wait(Udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        while (!error && self->m_receiver) {
            Udp::endpoint from;
            const std::size_t size = self->m_socket.receive_from(asio::buffer(receiveBuffer), from, 0, error);
            if (!error) {
                const Endpoint sender(from.address().to_v4().to_uint(), from.port());
                self->m_receiver(self->m_flow, sender, std::span<const char>(receiveBuffer.data(), size));
            }
        }
    }
}

} // namespace Samphirepitch
