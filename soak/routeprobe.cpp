#include "soak/routeprobe.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <array>

namespace Samphirepitch::Soak
{

namespace
{

using asio::ip::udp;

constexpr std::chrono::milliseconds responseTimeout { 300 };

} // namespace

RouteProbe::RouteProbe(asio::any_io_executor executor, Endpoint address)
    : m_address(address)
    , m_socket(executor, udp::endpoint(asio::ip::address_v4(address.address()), address.port()))
    , m_timer(executor)
{
    asio::co_spawn(executor, receive(), asio::detached);
}

asio::awaitable<RouteProbe::Response> RouteProbe::open(Endpoint instance, Endpoint service)
{
    m_opening = Segment();
    m_opening.source = Endpoint(m_address.address(), ++m_nextPort);
    m_opening.destination = service;
    m_opening.flags = Segment::syn;
    m_response = Response::None;
    send(instance, m_opening);
    std::error_code cancelled;
    m_timer.expires_after(responseTimeout);
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    if (m_response == Response::Accepted) {
        Segment end = m_opening;
        end.flags = Segment::fin | Segment::ack;
        end.token = m_received.token;
        end.sequence = m_opening.sequence + 1;
        end.acknowledgement = m_received.sequence + 1;
        send(instance, end);
    }
    co_return m_response;
}

asio::awaitable<void> RouteProbe::receive()
{
    std::array<char, 2048> buffer {};
    while (true) {
        std::error_code error;
        const std::size_t size = co_await m_socket.async_receive(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::connection_refused) {
            continue; // the instance of an earlier packet has ended
        }
        if (error) {
            co_return;
        }
        const auto segment = Segment::decode({ buffer.data(), size });
        if (!segment || segment->destination != m_opening.source || segment->source != m_opening.destination) {
            continue;
        }
        if (segment->has(Segment::syn)) {
            m_response = Response::Accepted;
            m_received = *segment;
        } else if (segment->has(Segment::rst) && !segment->checksumValid) {
            m_response = Response::Refused;
        }
        if (m_response != Response::None) {
            m_timer.cancel();
        }
    }
}

void RouteProbe::send(Endpoint instance, const Segment &segment)
{
    const std::string bytes = segment.encode();
    std::error_code ignored; // the packet counts as lost
    m_socket.send_to(asio::buffer(bytes), { asio::ip::address_v4(instance.address()), instance.port() }, 0, ignored);
}

} // namespace Samphirepitch::Soak
