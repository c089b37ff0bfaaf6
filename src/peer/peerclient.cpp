#include "peer/peerclient.h"

#include "peer/framecodec.h"
#include "peer/internal/framestream.h"
#include "peer/internal/tcpendpoint.h"
#include "peer/messagecodec.h"

#include <asio/experimental/as_tuple.hpp>
#include <asio/steady_timer.hpp>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <memory>
#include <utility>

namespace Samphirepitch
{

namespace
{

using asio::ip::tcp;

constexpr auto token = asio::experimental::as_tuple(asio::use_awaitable);

/** A socket that is closed when the deadline passes. */
class DeadlineSocket
{
public:
    DeadlineSocket(const asio::any_io_executor &executor, std::chrono::nanoseconds remaining)
        : m_socket(std::make_shared<tcp::socket>(executor))
        , m_timer(executor, remaining)
    {
        m_timer.async_wait([socket = m_socket](const asio::error_code &error) {
            if (!error) {
                asio::error_code ignored;
                socket->close(ignored);
            }
        });
    }

    tcp::socket &socket()
    {
        return *m_socket;
    }

private:
    std::shared_ptr<tcp::socket> m_socket;
    asio::steady_timer m_timer;
};

template<typename Reply>
Result<Reply> replyAs(Result<Message> message)
{
    if (!message) {
        return tl::unexpected<Error>(std::move(message.error()));
    }
    if (Reply *reply = std::get_if<Reply>(&*message)) {
        return std::move(*reply);
    }
    return failure(ErrorKind::Malformed, std::string(messageTypeName(message->index())), "not the type of the expected reply");
}

/** Replaces the error OutcomeUnknown of a read-only query, which has no effect, by DeadlineExceeded or Unavailable. */
Result<Message> readOnlyOutcome(Result<Message> reply, bool deadlinePassed)
{
    if (!reply && reply.error().kind() == ErrorKind::OutcomeUnknown) {
        return failure(
            deadlinePassed ? ErrorKind::DeadlineExceeded : ErrorKind::Unavailable, reply.error().subject(), reply.error().detail());
    }
    return reply;
}

/** Returns the error of a query that could not be sent. */
Result<Message> unsentOutcome(const Error &error, bool deadlinePassed)
{
    if (deadlinePassed && error.kind() == ErrorKind::Unavailable) {
        return failure(ErrorKind::DeadlineExceeded, error.subject(), "the connection was not open by the deadline");
    }
    return tl::unexpected<Error>(error);
}

/** Replaces the error Unavailable of a query that was sent by OutcomeUnknown, because the query may have taken effect. */
Result<Message> sentOutcome(Result<Message> reply)
{
    if (!reply && reply.error().kind() == ErrorKind::Unavailable) {
        return failure(ErrorKind::OutcomeUnknown, reply.error().subject(), "the query was sent, but no reply arrived");
    }
    return reply;
}

Result<void> checkHello(const Message &message, const std::string &deployment)
{
    const Hello *hello = std::get_if<Hello>(&message);
    if (!hello) {
        return failure(ErrorKind::Malformed, "hello", "the first message must be hello");
    }
    if (hello->deployment != deployment) {
        return failure(ErrorKind::WrongDeployment, hello->deployment, "expected " + deployment);
    }
    if (hello->protocolVersion != Hello::currentVersion) {
        return failure(ErrorKind::UnsupportedVersion, std::to_string(hello->protocolVersion), "this client uses another protocol version");
    }
    return {};
}

asio::awaitable<Result<Message>> readMessage(tcp::socket &socket, std::size_t limit)
{
    const Result<std::string> body = co_await readFrame(socket, limit);
    if (!body) {
        co_return tl::unexpected<Error>(body.error());
    }
    Result<Envelope> envelope = MessageCodec::decode(*body);
    if (!envelope) {
        co_return tl::unexpected<Error>(envelope.error());
    }
    co_return std::move(envelope->message);
}

/** Writes a message. A failure is not reported, since the next read then reports the end of the connection. */
asio::awaitable<void> writeMessage(tcp::socket &socket, Envelope envelope)
{
    const Result<std::string> frame = FrameCodec::encode(MessageCodec::encode(envelope));
    if (frame) {
        co_await asio::async_write(socket, asio::buffer(*frame), token);
    }
}

asio::awaitable<Result<Message>> exchange(tcp::socket &socket, Envelope query)
{
    co_await writeMessage(socket, std::move(query));
    Result<Message> reply = co_await readMessage(socket, FrameCodec::maxBody);
    co_return sentOutcome(std::move(reply));
}

} // namespace

PeerClient::PeerClient(std::string deployment, const Clock &clock)
    : m_deployment(std::move(deployment))
    , m_clock(clock)
{
}

asio::awaitable<Result<StatusReply>> PeerClient::status(Endpoint instance, TimePoint deadline)
{
    Result<Message> reply = co_await sendQuery(instance, StatusQuery {}, deadline);
    co_return replyAs<StatusReply>(readOnlyOutcome(std::move(reply), m_clock.now() >= deadline));
}

asio::awaitable<Result<EventsReply>> PeerClient::events(Endpoint instance, std::uint64_t afterSequence, TimePoint deadline)
{
    Message query = EventsQuery { afterSequence };
    Result<Message> reply = co_await sendQuery(instance, std::move(query), deadline);
    co_return replyAs<EventsReply>(readOnlyOutcome(std::move(reply), m_clock.now() >= deadline));
}

asio::awaitable<Result<DrainReply>> PeerClient::drain(Endpoint instance, TimePoint deadline)
{
    Result<Message> reply = co_await sendQuery(instance, DrainRequest {}, deadline);
    co_return replyAs<DrainReply>(std::move(reply));
}

asio::awaitable<Result<Message>> PeerClient::sendQuery(Endpoint instance, Message query, TimePoint deadline)
{
    DeadlineSocket connection(co_await asio::this_coro::executor, deadline - m_clock.now());
    const Result<void> open = co_await openConnection(connection.socket(), instance);
    if (!open) {
        co_return unsentOutcome(open.error(), m_clock.now() >= deadline);
    }
    // Envelopes are named objects, because GCC 12 destroys a braced temporary in a co_await expression twice.
    Envelope envelope { m_hybridClock.tick(m_clock.wallNow()), std::move(query) };
    co_return co_await exchange(connection.socket(), std::move(envelope));
}

asio::awaitable<Result<void>> PeerClient::openConnection(tcp::socket &socket, Endpoint instance)
{
    const auto [error] = co_await socket.async_connect(tcpEndpoint(instance), token);
    if (error) {
        co_return failure(ErrorKind::Unavailable, instance.toString(), error.message());
    }
    Hello hello;
    hello.deployment = m_deployment;
    Envelope envelope { m_hybridClock.tick(m_clock.wallNow()), std::move(hello) };
    co_await writeMessage(socket, std::move(envelope));
    const Result<Message> remote = co_await readMessage(socket, FrameCodec::maxBody);
    if (!remote) {
        co_return tl::unexpected<Error>(remote.error());
    }
    co_return checkHello(*remote, m_deployment);
}

} // namespace Samphirepitch
