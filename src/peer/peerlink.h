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

/** One connection to another instance or to the operators' client. */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    static constexpr std::chrono::milliseconds heartbeatInterval { 500 };
    static constexpr std::chrono::milliseconds timeout { 1500 }; /**< without any message */
    static constexpr std::chrono::milliseconds clientTimeout { 10000 }; /**< without any message from the operators' client */
    static constexpr std::size_t maxQueuedBytes = 3 * 1024 * 1024; /**< bytes; two large parts and small messages */
    static constexpr std::size_t maxHelloSize = 1024; /**< bytes; nothing larger is read from an unknown sender */

    /**
     * @param socket connected socket
     * @param dialed whether this instance made the connection
     */
    PeerLink(asio::ip::tcp::socket socket, const LinkContext &context, bool dialed);

    /** Exchanges Hellos and reads messages until the link closes. */
    asio::awaitable<void> run();

    /** Queues @p message. A peer that reads too slowly is disconnected. @return false if the link is or was closed */
    bool send(const Message &message);

    /** Closes the link; run() ends with @p reason. */
    void close(Error reason);

    /** Closes the link if its deadline has passed. */
    void checkDeadline(TimePoint now);

    /** The Hello of the other side; empty before linkUp(). */
    const Hello &peer() const;

    /** Whether the other side is the operators' client. */
    bool isClient() const;

    bool isDialed() const;

    /** Bytes that wait to be sent. */
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
