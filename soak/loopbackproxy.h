#pragma once

#include "core/endpoint.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace Samphirepitch::Soak
{

/** Stands between one instance and the store, and harms the connections that pass. */
class LoopbackProxy
{
public:
    /** What happens to the bytes. */
    enum class Mode {
        Pass,
        Delay, /**< both ways arrive later */
        Swallow, /**< requests arrive and answers are lost */
        Silent, /**< nothing passes, and nothing is closed */
        Reset, /**< connections are reset */
    };

    /** Listens at a free port of the loopback address for connections to @p target. */
    LoopbackProxy(asio::any_io_executor executor, Endpoint target);

    Endpoint address() const;

    /** Applies to open connections as well. */
    void setMode(Mode mode);

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    asio::awaitable<void> accept();
    asio::awaitable<void> connect(Socket client);
    asio::awaitable<void> relay(Socket from, Socket to, bool answers);
    void reset(const Socket &socket);

    asio::any_io_executor m_executor;
    Endpoint m_target;
    asio::ip::tcp::acceptor m_acceptor;
    std::set<Socket> m_sockets;
    Mode m_mode = Mode::Pass;
};

} // namespace Samphirepitch::Soak
