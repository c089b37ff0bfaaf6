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
     * Opens a socket and binds it.
     * @param executor runs waits for datagrams
     * @param address local address; port 0 takes a free port
     * @return the socket; InputOutput if the address cannot be bound
     */
    static Result<std::unique_ptr<DatagramSocket>> bind(const asio::any_io_executor &executor, Endpoint address);

    /** Waits until a datagram can be received. @return false after close() or an error of the socket */
    asio::awaitable<bool> waitForDatagram();

    /** Returns the bound address, with the actual port. */
    Endpoint address() const;
    int descriptor();

    /** Returns the batch of datagrams that this socket sends with the next flush. */
    SendBatch &outgoing();

    void close();

private:
    DatagramSocket(asio::ip::udp::socket socket, Endpoint address);

    asio::ip::udp::socket m_socket;
    Endpoint m_address;
    SendBatch m_outgoing;
};

} // namespace Samphirepitch::StandIn
