#pragma once

#include "core/endpoint.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

#include <memory>
#include <set>
#include <string>

namespace Samphirepitch::Soak
{

/** A proxy in front of the store or of an instance that injects faults into connections and datagrams. */
class FaultProxy
{
public:
    /** The injected fault. Datagrams have no responses: they are delayed in mode Delay, and lost in the three modes after it. */
    enum class Mode {
        Pass,
        Delay, /**< bytes of both directions arrive 300 ms later */
        DropResponses, /**< requests arrive and responses are lost */
        Blackhole, /**< nothing is forwarded, and no connection is closed */
        Reset, /**< open and new connections are reset */
    };

    /**
     * Starts to forward TCP connections.
     * @param executor runs the proxy; has a single thread
     * @param address address to listen at; the port 0 chooses a free port
     * @param target address that connections are forwarded to
     */
    FaultProxy(asio::any_io_executor executor, Endpoint address, Endpoint target);

    /** Starts to forward UDP datagrams from the same address and port as well. */
    void forwardDatagrams();

    /** Returns the bound address, with the chosen port. */
    Endpoint address() const;

    /** Sets the fault, which applies to open connections as well. */
    void setMode(Mode mode);
    Mode mode() const;

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    asio::awaitable<void> accept();
    asio::awaitable<void> receive();
    asio::awaitable<void> sendLater(std::string datagram);
    void send(const std::string &datagram);
    asio::awaitable<void> connect(Socket client);
    asio::awaitable<void> relay(Socket from, Socket to, bool isResponse);
    void reset(const Socket &socket);

    asio::any_io_executor m_executor;
    Endpoint m_target;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::udp::socket m_datagrams;
    std::set<Socket> m_sockets;
    Mode m_mode = Mode::Pass;
};

} // namespace Samphirepitch::Soak
