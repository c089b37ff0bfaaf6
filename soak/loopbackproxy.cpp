#include "soak/loopbackproxy.h"

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

constexpr std::chrono::milliseconds delay { 300 };
constexpr std::size_t bufferSize = 16 * 1024; // bytes

} // namespace

LoopbackProxy::LoopbackProxy(asio::any_io_executor executor, Endpoint target)
    : m_executor(std::move(executor))
    , m_target(target)
    , m_acceptor(m_executor, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    asio::co_spawn(m_executor, accept(), asio::detached);
}

Endpoint LoopbackProxy::address() const
{
    return { 0x7f000001, m_acceptor.local_endpoint().port() };
}

void LoopbackProxy::setMode(Mode mode)
{
    m_mode = mode;
    if (mode == Mode::Reset) {
        for (const Socket &socket : m_sockets) {
            reset(socket);
        }
    }
}

void LoopbackProxy::reset(const Socket &socket)
{
    std::error_code ignored;
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
}

asio::awaitable<void> LoopbackProxy::accept()
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

asio::awaitable<void> LoopbackProxy::connect(Socket client)
{
    auto store = std::make_shared<tcp::socket>(m_executor);
    std::error_code error;
    co_await store->async_connect(
        { asio::ip::address_v4(m_target.address()), m_target.port() }, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return;
    }
    asio::co_spawn(m_executor, relay(client, store, false), asio::detached);
    asio::co_spawn(m_executor, relay(store, client, true), asio::detached);
}

asio::awaitable<void> LoopbackProxy::relay(Socket from, Socket to, bool answers)
{
    m_sockets.insert(from);
    std::array<char, bufferSize> buffer {};
    std::error_code error;
    while (!error) {
        const std::size_t size = co_await from->async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        if (m_mode == Mode::Silent || (m_mode == Mode::Swallow && answers)) {
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
