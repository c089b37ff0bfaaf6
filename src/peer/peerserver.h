#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/error.h"
#include "peer/linkcontext.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <list>
#include <map>
#include <memory>

namespace Samphirepitch
{

class PeerLink;

/** Owns all peer connections of an instance: accepts them, dials peers, and closes connections whose deadline has passed. */
class PeerServer
{
public:
    static constexpr std::size_t maxConnections = 128; /**< 4 ring neighbours, 5 tree links, 24 watchers, clients and starting instances */
    static constexpr std::chrono::milliseconds dialTimeout { 1000 }; /**< time until a connection attempt is given up */

    /**
     * Listens on an address.
     * @param executor runs all connections
     * @param address TCP address to listen on; port 0 selects a free port
     * @param context objects shared by all links
     * @return the server, or InputOutput if listening failed
     */
    static Result<std::unique_ptr<PeerServer>> create(const asio::any_io_executor &executor, Endpoint address, const LinkContext &context);

    /** Accepts connections until stop() is called, and returns after the last connection has ended. */
    asio::awaitable<void> run();

    /** Stops accepting and closes all connections, so that run() returns. */
    void stop();

    /** Starts to connect to @p address, unless an attempt is in progress or the connection limit is reached. */
    void dial(Endpoint address);

    /** Closes links and connection attempts whose deadline has passed. */
    void advance(TimePoint now);

    /** Returns the address that the server listens on. */
    Endpoint address() const;

    /** Returns the number of connections, including connection attempts. */
    std::size_t connectionCount() const;

private:
    struct Dial {
        std::shared_ptr<asio::ip::tcp::socket> socket;
        TimePoint deadline;
    };

    PeerServer(asio::ip::tcp::acceptor acceptor, const LinkContext &context);

    void startLink(asio::ip::tcp::socket socket, bool dialed);
    asio::awaitable<void> runLink(std::shared_ptr<PeerLink> link);
    asio::awaitable<void> runDial(Endpoint address, std::shared_ptr<asio::ip::tcp::socket> socket);

    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_connectionEnded; // cancelled when a connection or attempt ends, which wakes run()
    LinkContext m_context;
    std::list<std::shared_ptr<PeerLink>> m_links;
    std::map<Endpoint, Dial> m_dials;
    bool m_stopped = false;
};

} // namespace Samphirepitch
