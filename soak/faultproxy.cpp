#include "soak/faultproxy.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <array>

namespace Samphirepitch::Soak
{

namespace
{

using asio::ip::tcp;
using asio::ip::udp;

constexpr std::chrono::milliseconds delay { 300 };
constexpr std::size_t bufferSize = 16 * 1024; // bytes

} // namespace

FaultProxy::FaultProxy(asio::any_io_executor executor, Endpoint address, Endpoint target)
    : m_executor(std::move(executor))
    , m_target(target)
    , m_acceptor(m_executor, tcp::endpoint(asio::ip::address_v4(address.address()), address.port()))
    , m_datagrams(m_executor)
{
    asio::co_spawn(m_executor, accept(), asio::detached);
}

Endpoint FaultProxy::address() const
{
    const tcp::endpoint local = m_acceptor.local_endpoint();
    return { local.address().to_v4().to_uint(), local.port() };
}

void FaultProxy::forwardDatagrams()
{
    const tcp::endpoint local = m_acceptor.local_endpoint();
    m_datagrams = udp::socket(m_executor, udp::endpoint(local.address(), local.port()));
    m_datagrams.non_blocking(true);
    asio::co_spawn(m_executor, receive(), asio::detached);
}

asio::awaitable<void> FaultProxy::receive()
{
    std::array<char, bufferSize> buffer {};
    while (true) {
        udp::endpoint from;
        std::error_code error;
        const std::size_t size
            = co_await m_datagrams.async_receive_from(asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, error));
        // Other errors report that the target of an earlier datagram is not running.
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            continue;
        }
        if (m_mode == Mode::Pass) {
            send(std::string(buffer.data(), size));
        } else if (m_mode == Mode::Delay) {
            asio::co_spawn(m_executor, sendLater(std::string(buffer.data(), size)), asio::detached);
        }
    }
}

asio::awaitable<void> FaultProxy::sendLater(std::string datagram)
{
    asio::steady_timer timer(m_executor, delay);
    std::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    send(datagram);
}

void FaultProxy::send(const std::string &datagram)
{
    std::error_code ignored; // the datagram counts as lost
    m_datagrams.send_to(asio::buffer(datagram), { asio::ip::address_v4(m_target.address()), m_target.port() }, 0, ignored);
}

void FaultProxy::setMode(Mode mode)
{
    m_mode = mode;
    if (mode == Mode::Reset) {
        for (const Socket &socket : m_sockets) {
            reset(socket);
        }
    }
}

FaultProxy::Mode FaultProxy::mode() const
{
    return m_mode;
}

void FaultProxy::reset(const Socket &socket)
{
    std::error_code ignored;
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
}

asio::awaitable<void> FaultProxy::accept()
{
    while (true) {
        std::error_code error;
        auto client = std::make_shared<tcp::socket>(co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error)));
        if (error) {
            co_return;
        }
        if (m_mode == Mode::Reset) {
            reset(client);
        } else {
            asio::co_spawn(m_executor, connect(std::move(client)), asio::detached);
        }
    }
}

asio::awaitable<void> FaultProxy::connect(Socket client)
{
    auto target = std::make_shared<tcp::socket>(m_executor);
    std::error_code error;
    co_await target->async_connect(
        { asio::ip::address_v4(m_target.address()), m_target.port() }, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return;
    }
    asio::co_spawn(m_executor, relay(client, target, false), asio::detached);
    asio::co_spawn(m_executor, relay(target, client, true), asio::detached);
}

asio::awaitable<void> FaultProxy::relay(Socket from, Socket to, bool isResponse)
{
    m_sockets.insert(from);
    std::array<char, bufferSize> buffer {};
    std::error_code error;
    while (!error) {
        const std::size_t size = co_await from->async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        if (m_mode == Mode::Blackhole || (m_mode == Mode::DropResponses && isResponse)) {
            continue;
        }
        if (m_mode == Mode::Delay) {
            asio::steady_timer timer(m_executor, delay);
            std::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_await asio::async_write(*to, asio::buffer(buffer.data(), size), asio::redirect_error(asio::use_awaitable, error));
    }
    m_sockets.erase(from);
    std::error_code ignored;
    to->close(ignored);
}

} // namespace Samphirepitch::Soak
