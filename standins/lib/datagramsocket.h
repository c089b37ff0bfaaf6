#pragma once

#include "core/endpoint.h"
#include "lib/sendbatch.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/udp.hpp>

#include <memory>

namespace Samphirepitch::StandIn
{

/** A bound UDP socket whose datagrams are received and sent in batches. */
class DatagramSocket
{
public:
    /**
     * Binds @p address; port 0 takes a free port.
     * @return the socket, or InputOutput
     */
    static Result<std::unique_ptr<DatagramSocket>> bind(const asio::any_io_executor &executor, Endpoint address);

    /** Waits until a datagram is there. @return false once the socket is closed */
    asio::awaitable<bool> waitForDatagram();

    Endpoint address() const;
    int descriptor();

    /** The datagrams that are sent from this socket. */
    SendBatch &outgoing();

    void close();

private:
    DatagramSocket(asio::ip::udp::socket socket, Endpoint address);

    asio::ip::udp::socket m_socket;
    Endpoint m_address;
    SendBatch m_outgoing;
};

} // namespace Samphirepitch::StandIn
