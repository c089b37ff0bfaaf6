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

/** Owns all connections of an instance: accepts them, dials peers, and closes those whose deadline passed. */
class PeerServer
{
public:
    static constexpr std::size_t maxConnections = 128; /**< 4 on the ring, 5 in the tree, 24 watchers, clients, and starting instances */
    static constexpr std::chrono::milliseconds dialTimeout { 1000 };

    /**
     * Listens at @p address; port 0 takes a free port.
     * @return the server, or InputOutput
     */
    static Result<std::unique_ptr<PeerServer>> create(const asio::any_io_executor &executor, Endpoint address, const LinkContext &context);

    /** Accepts connections until stop(), and returns after the last connection has ended. */
    asio::awaitable<void> run();

    /** Closes everything; run() ends. */
    void stop();

    /** Starts to connect to @p address unless that is going on. */
    void dial(Endpoint address);

    /** Closes links and dials whose deadline passed. */
    void advance(TimePoint now);

    /** The address that is listened at. */
    Endpoint address() const;

    /** Connections now, with unfinished dials. */
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
    asio::steady_timer m_connectionEnded; // cancelled when the last connection ends
    LinkContext m_context;
    std::list<std::shared_ptr<PeerLink>> m_links;
    std::map<Endpoint, Dial> m_dials;
    bool m_stopped = false;
};

} // namespace Samphirepitch
