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

/** Stands before the store or an instance, and harms what passes to it. */
class FaultProxy
{
public:
    /** What happens to the bytes. Datagrams pass, arrive later, or are lost, and have no answers. */
    enum class Mode {
        Pass,
        Delay, /**< both ways arrive later */
        DropResponses, /**< requests arrive and answers are lost */
        Blackhole, /**< nothing passes, and nothing is closed */
        Reset, /**< connections are reset */
    };

    /** Listens at @p address, whose port may be 0, for connections to @p target. */
    FaultProxy(asio::any_io_executor executor, Endpoint address, Endpoint target);

    /** Passes on the datagrams of the same address as well. */
    void forwardDatagrams();

    Endpoint address() const;

    /** Applies to open connections as well. */
    void setMode(Mode mode);

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
