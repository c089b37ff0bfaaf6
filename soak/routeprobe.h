#pragma once

#include "core/endpoint.h"
#include "soak/segment.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>

namespace Samphirepitch::Soak
{

/** A client host that opens one flow at a time through a given instance, to learn which routes the instance has. */
class RouteProbe
{
public:
    enum class Response {
        Accepted, /**< a server accepted the flow */
        Refused, /**< the instance reset the flow */
        None, /**< neither happened within 300 ms */
    };

    /**
     * Binds the address and starts to receive.
     * @param executor runs the probe; has a single thread
     * @param address address of the host; all packets to its flows arrive at its port
     */
    RouteProbe(asio::any_io_executor executor, Endpoint address);

    /**
     * Opens a flow and closes it at once. Calls must not overlap.
     * @param instance data address of the instance
     * @param service address of the route
     */
    asio::awaitable<Response> open(Endpoint instance, Endpoint service);

private:
    asio::awaitable<void> receive();
    void send(Endpoint instance, const Segment &segment);

    Endpoint m_address;
    asio::ip::udp::socket m_socket;
    asio::steady_timer m_timer; // cancelled when the response arrives
    Segment m_opening;
    Segment m_received; // the server's acceptance
    Response m_response = Response::None;
    std::uint16_t m_nextPort = 1024;
};

} // namespace Samphirepitch::Soak
