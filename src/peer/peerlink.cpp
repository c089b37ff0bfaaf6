#include "peer/peerlink.h"

#include "core/eventsink.h"
#include "peer/framecodec.h"
#include "peer/internal/framestream.h"
#include "peer/linkcounters.h"
#include "peer/linkhandler.h"
#include "peer/messagecodec.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <utility>

namespace Samphirepitch
{

PeerLink::PeerLink(asio::ip::tcp::socket socket, const LinkContext &context, bool dialed)
    : m_socket(std::move(socket))
    , m_context(context)
    , m_dialed(dialed)
    , m_deadline(context.clock.now() + timeout)
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<void> PeerLink::run()
{
    const auto self = shared_from_this();
    Result<void> result = co_await exchangeHello();
    if (result) {
        m_up = m_context.handler.linkUp(self);
        if (m_up) {
            result = co_await readMessages();
        }
    }
    if (!result) {
        close(result.error());
    }
    close(Error(ErrorKind::Stopped, m_peer.instanceId, "the link is not needed"));
    recordRefusal(*m_closeReason);
    if (m_up) {
        m_context.handler.linkDown(*this, *m_closeReason);
    }
}

bool PeerLink::send(const Message &message)
{
    if (m_closeReason) {
        return false;
    }
    Result<std::string> frame = FrameCodec::encode(MessageCodec::encode({ m_context.handler.sendTime(), message }));
    if (!frame) {
        close(frame.error());
        return false;
    }
    if (m_queuedBytes + frame->size() > maxQueuedBytes) {
        ++m_context.counters.slowPeers;
        close(Error(ErrorKind::TooLarge, m_peer.instanceId, "the send queue is full; the peer reads too slowly"));
        return false;
    }
    m_context.counters.sentBytes[message.index()] += frame->size();
    ++m_context.counters.sentMessages[message.index()];
    m_queuedBytes += frame->size();
    m_sendQueue.push_back(std::move(*frame));
    writeNext();
    return true;
}

void PeerLink::close(Error reason)
{
    if (!m_closeReason) {
        m_closeReason = std::move(reason);
        asio::error_code ignored;
        m_socket.close(ignored);
    }
}

void PeerLink::checkDeadline(TimePoint now)
{
    if (!m_closeReason && now >= m_deadline) {
        ++m_context.counters.timeouts;
        close(Error(ErrorKind::DeadlineExceeded, m_peer.instanceId, "no heartbeat or other message arrived by the deadline"));
    }
}

const Hello &PeerLink::peer() const
{
    return m_peer;
}

bool PeerLink::isClient() const
{
    return m_peer.instanceId.empty();
}

bool PeerLink::isDialed() const
{
    return m_dialed;
}

std::size_t PeerLink::queuedBytes() const
{
    return m_queuedBytes;
}

asio::awaitable<Result<void>> PeerLink::exchangeHello()
{
    // Both sides send without waiting for the other, so that each of them can report a mismatch.
    send(m_context.handler.localHello());
    const Result<Envelope> envelope = co_await readMessage(maxHelloSize);
    if (!envelope) {
        co_return tl::unexpected<Error>(envelope.error());
    }
    const Hello *hello = std::get_if<Hello>(&envelope->message);
    if (!hello) {
        co_return failure(ErrorKind::Malformed, "hello", "the first message must be hello");
    }
    const Hello local = m_context.handler.localHello();
    if (hello->deployment != local.deployment) {
        co_return failure(ErrorKind::WrongDeployment, hello->deployment, "this instance belongs to " + local.deployment);
    }
    if (hello->protocolVersion != local.protocolVersion) {
        co_return failure(
            ErrorKind::UnsupportedVersion, std::to_string(hello->protocolVersion), "this instance uses another protocol version");
    }
    m_peer = *hello;
    extendDeadline();
    co_return Result<void>();
}

asio::awaitable<Result<void>> PeerLink::readMessages()
{
    while (!m_closeReason) {
        Result<Envelope> envelope = co_await readMessage(FrameCodec::maxBody);
        if (!envelope) {
            co_return tl::unexpected<Error>(envelope.error());
        }
        if (m_closeReason) {
            break;
        }
        extendDeadline();
        const std::size_t type = envelope->message.index();
        if (!m_context.handler.received(*this, std::move(envelope->message))) {
            co_return failure(ErrorKind::Malformed, std::string(messageTypeName(type)), "not allowed on this link");
        }
    }
    co_return Result<void>();
}

asio::awaitable<Result<Envelope>> PeerLink::readMessage(std::size_t limit)
{
    const Result<std::string> body = co_await readFrame(m_socket, limit);
    if (!body) {
        co_return tl::unexpected<Error>(body.error());
    }
    Result<Envelope> envelope = MessageCodec::decode(*body);
    if (envelope) {
        m_context.counters.receivedBytes[envelope->message.index()] += body->size() + FrameCodec::headerSize;
        m_context.handler.observeTime(envelope->at);
    }
    co_return envelope;
}

void PeerLink::writeNext()
{
    if (m_writing || m_sendQueue.empty() || m_closeReason) {
        return;
    }
    m_writing = true;
    asio::async_write(m_socket, asio::buffer(m_sendQueue.front()), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
        self->m_writing = false;
        self->m_queuedBytes -= self->m_sendQueue.front().size();
        self->m_sendQueue.pop_front();
        if (error) {
            self->close(Error(ErrorKind::Unavailable, self->m_peer.instanceId, error.message()));
        }
        self->writeNext();
    });
}

void PeerLink::recordRefusal(const Error &reason)
{
    switch (reason.kind()) {
    case ErrorKind::Malformed:
    case ErrorKind::TooLarge:
        ++m_context.counters.badInput;
        break;
    case ErrorKind::WrongDeployment:
    case ErrorKind::UnsupportedVersion:
        ++m_context.counters.wrongPeer;
        break;
    default:
        return;
    }
    m_context.events.record(EventSeverity::Warning, "peer_link_refused",
        { { "peer", m_peer.instanceId }, { "kind", std::string(errorKindName(reason.kind())) }, { "subject", reason.subject() },
            { "detail", reason.detail() } });
}

void PeerLink::extendDeadline()
{
    m_deadline = m_context.clock.now() + (isClient() ? clientTimeout : timeout);
}

} // namespace Samphirepitch
