#include "peer/peerserver.h"

#include "core/eventsink.h"
#include "objectstore/internal/tcplistener.h"
#include "peer/internal/tcpendpoint.h"
#include "peer/linkcounters.h"
#include "peer/linkhandler.h"
#include "peer/peerlink.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>
#include <vector>

namespace Samphirepitch
{

namespace
{

using asio::ip::tcp;

constexpr auto token = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds acceptRetryDelay { 100 }; // after accept() failed, for example because no file descriptor was free

} // namespace

Result<std::unique_ptr<PeerServer>> PeerServer::create(const asio::any_io_executor &executor, Endpoint address, const LinkContext &context)
{
    tcp::acceptor acceptor(executor);
    if (const std::error_code error = openListener(acceptor, address)) {
        return failure(ErrorKind::InputOutput, address.toString(), error.message());
    }
    return std::unique_ptr<PeerServer>(new PeerServer(std::move(acceptor), context));
}

PeerServer::PeerServer(tcp::acceptor acceptor, const LinkContext &context)
    : m_acceptor(std::move(acceptor))
    , m_connectionEnded(m_acceptor.get_executor(), asio::steady_timer::time_point::max())
    , m_context(context)
{
}

asio::awaitable<void> PeerServer::run()
{
    while (!m_stopped) {
        auto [error, socket] = co_await m_acceptor.async_accept(token);
        if (m_stopped) {
            break;
        }
        if (error) {
            asio::steady_timer delay(m_acceptor.get_executor(), acceptRetryDelay);
            co_await delay.async_wait(token);
        } else if (connectionCount() >= maxConnections) {
            ++m_context.counters.refused;
            m_context.events.record(EventSeverity::Warning, "peer_connection_refused", { { "limit", std::to_string(maxConnections) } });
        } else {
            startLink(std::move(socket), false);
        }
    }
    while (connectionCount() > 0) {
        co_await m_connectionEnded.async_wait(token);
    }
}

void PeerServer::stop()
{
    m_stopped = true;
    asio::error_code ignored;
    m_acceptor.close(ignored);
    for (auto &[address, dial] : m_dials) {
        dial.socket->close(ignored);
    }
    for (const auto &link : m_links) {
        link->close(Error(ErrorKind::Stopped, "link", "this instance is stopping"));
    }
    m_connectionEnded.cancel();
}

void PeerServer::dial(Endpoint address)
{
    if (m_stopped || m_dials.contains(address) || connectionCount() >= maxConnections) {
        return;
    }
    auto socket = std::make_shared<tcp::socket>(m_acceptor.get_executor());
    m_dials.emplace(address, Dial { socket, m_context.clock.now() + dialTimeout });
    asio::co_spawn(m_acceptor.get_executor(), runDial(address, socket), asio::detached);
}

void PeerServer::advance(TimePoint now)
{
    for (auto &[address, dial] : m_dials) {
        if (now >= dial.deadline) {
            asio::error_code ignored;
            dial.socket->close(ignored);
        }
    }
    for (const auto &link : m_links) {
        link->checkDeadline(now);
    }
}

Endpoint PeerServer::address() const
{
    asio::error_code ignored;
    const tcp::endpoint endpoint = m_acceptor.local_endpoint(ignored);
    return Endpoint(endpoint.address().to_v4().to_uint(), endpoint.port());
}

std::size_t PeerServer::connectionCount() const
{
    return m_links.size() + m_dials.size();
}

void PeerServer::startLink(tcp::socket socket, bool dialed)
{
    auto link = std::make_shared<PeerLink>(std::move(socket), m_context, dialed);
    m_links.push_back(link);
    asio::co_spawn(m_acceptor.get_executor(), runLink(std::move(link)), asio::detached);
}

asio::awaitable<void> PeerServer::runLink(std::shared_ptr<PeerLink> link)
{
    co_await link->run();
    m_links.remove(link);
    m_connectionEnded.cancel();
}

asio::awaitable<void> PeerServer::runDial(Endpoint address, std::shared_ptr<tcp::socket> socket)
{
    const auto [error] = co_await socket->async_connect(tcpEndpoint(address), token);
    m_dials.erase(address);
    m_connectionEnded.cancel();
    if (m_stopped) {
        co_return;
    }
    if (error || !socket->is_open()) {
        m_context.handler.dialFailed(address, Error(ErrorKind::Unavailable, address.toString(), error.message()));
    } else {
        startLink(std::move(*socket), true);
    }
}

} // namespace Samphirepitch
