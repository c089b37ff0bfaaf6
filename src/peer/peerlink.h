#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "peer/linkcontext.h"
#include "peer/message.h"

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace Samphirepitch
{

/** A connection to another instance or to an operators' client. */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    static constexpr std::chrono::milliseconds heartbeatInterval { 500 };
    static constexpr std::chrono::milliseconds timeout { 1500 }; /**< time without any message until the link is closed */
    /** Time without any message until a link to an operators' client is closed. */
    static constexpr std::chrono::milliseconds clientTimeout { 10000 };
    /** Maximum length of the send queue in bytes; room for two parts of maximum size and small messages. */
    static constexpr std::size_t maxQueuedBytes = 3 * 1024 * 1024;
    static constexpr std::size_t maxHelloSize = 1024; /**< bytes; maximum size of the first message, whose sender is not known yet */

    /**
     * Creates a link; run() must be called to operate it.
     * @param socket a connected socket
     * @param context objects shared by all links
     * @param dialed whether this instance opened the connection
     */
    PeerLink(asio::ip::tcp::socket socket, const LinkContext &context, bool dialed);

    /** Exchanges Hello messages, then receives messages until the link closes. */
    asio::awaitable<void> run();

    /**
     * Queues a message. Closes the link if the send queue is full, which means that the peer reads too slowly.
     * @return false if the link is closed
     */
    bool send(const Message &message);

    /** Closes the link. run() then reports @p reason and returns. Does nothing if the link is closed already. */
    void close(Error reason);

    /** Closes the link if its deadline has passed. */
    void checkDeadline(TimePoint now);

    /** Returns the Hello message of the peer; its fields are empty before LinkHandler::linkUp() is called. */
    const Hello &peer() const;

    /** Returns whether the peer is an operators' client. */
    bool isClient() const;

    /** Returns whether this instance opened the connection. */
    bool isDialed() const;

    /** Returns the number of bytes in the send queue. */
    std::size_t queuedBytes() const;

private:
    asio::awaitable<Result<void>> exchangeHello();
    asio::awaitable<Result<void>> readMessages();
    asio::awaitable<Result<Envelope>> readMessage(std::size_t limit);
    void writeNext();
    void recordRefusal(const Error &reason);
    void extendDeadline();

    asio::ip::tcp::socket m_socket;
    LinkContext m_context;
    bool m_dialed;
    bool m_up = false;
    bool m_writing = false;
    Hello m_peer;
    std::deque<std::string> m_sendQueue;
    std::size_t m_queuedBytes = 0;
    TimePoint m_deadline;
    std::optional<Error> m_closeReason;
};

} // namespace Samphirepitch
