#include "stream/peerstatetransfer.h"

#include "objectstore/internal/socketdeadline.h"
#include "objectstore/internal/tcplistener.h"
#include "peer/framecodec.h"
#include "peer/internal/framestream.h"
#include "peer/internal/tcpendpoint.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <utility>

namespace Samphirepitch
{

namespace
{

using asio::ip::tcp;
using std::chrono::milliseconds;

// A state of some ten KB takes a few round trips; a peer behind a cut never answers.
constexpr milliseconds transferTimeout { 400 };

// Descriptors come back as connections end, which takes at most the timeout.
constexpr milliseconds acceptRetryDelay { 50 };

constexpr std::size_t maxConnections = 512; // connections at once; each holds a descriptor and a state
constexpr std::size_t maxRequestSize = 4096; // bytes of the news that a request consists of

} // namespace

PeerStateTransfer::PeerStateTransfer(asio::any_io_executor executor, const Clock &clock, std::string deployment, PeerStateSource &source)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_deployment(std::move(deployment))
    , m_source(source)
    , m_acceptor(m_executor)
{
}

Result<void> PeerStateTransfer::bind(Endpoint address)
{
    if (const std::error_code error = openListener(m_acceptor, address)) {
        return failure(ErrorKind::InputOutput, address.toString(), error.message());
    }
    return {};
}

asio::awaitable<Result<PeerState>> PeerStateTransfer::fetch(Endpoint peer, GossipMessage request)
{
    tcp::socket socket(m_executor);
    const SocketDeadline limit(socket, transferTimeout);
    std::error_code error;
    co_await socket.async_connect(tcpEndpoint(peer), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return failure(ErrorKind::Unavailable, peer.toString(), error.message());
    }
    const Result<std::string> frame = FrameCodec::encode(GossipCodec::encode(request, m_clock.now()));
    if (!frame) {
        co_return tl::unexpected(frame.error());
    }
    co_await asio::async_write(socket, asio::buffer(*frame), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return failure(ErrorKind::Unavailable, peer.toString(), error.message());
    }
    const Result<std::string> answer = co_await readFrame(socket, FrameCodec::maxBody);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    Result<PeerState> state = GossipCodec::decodeState(*answer, m_clock.now());
    if (state && state->deployment != m_deployment) {
        co_return failure(ErrorKind::WrongDeployment, state->sender.id, "it belongs to " + state->deployment);
    }
    co_return state;
}

asio::awaitable<Result<void>> PeerStateTransfer::serve()
{
    while (true) {
        std::error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            // Such as too many open files.
            m_source.reportFailure("peer_request_refused", "unknown", Error(ErrorKind::InputOutput, "accept", error.message()));
            asio::steady_timer pause(m_executor, acceptRetryDelay);
            co_await pause.async_wait(asio::use_awaitable);
        } else if (m_activeConnections < maxConnections) {
            ++m_activeConnections;
            asio::co_spawn(m_executor, answer(std::move(socket)), asio::detached);
        } else {
            m_source.reportFailure("peer_request_refused", "unknown", Error(ErrorKind::RateLimited, "states", "too many are sent now"));
        }
    }
}

asio::awaitable<void> PeerStateTransfer::answer(tcp::socket socket)
{
    const SocketDeadline limit(socket, transferTimeout);
    const Result<std::string> request = co_await readFrame(socket, maxRequestSize);
    const Result<GossipMessage> message = request ? readMessage(*request) : tl::unexpected(request.error());
    if (message) {
        const Result<std::string> answer = FrameCodec::encode(GossipCodec::encode(m_source.stateFor(*message), m_clock.now()));
        std::error_code error;
        if (answer) {
            co_await asio::async_write(socket, asio::buffer(*answer), asio::redirect_error(asio::use_awaitable, error));
        }
        if (!answer) {
            m_source.reportFailure("peer_state_unsent", message->sender.id, answer.error());
        } else if (error) {
            m_source.reportFailure("peer_state_unsent", message->sender.id, Error(ErrorKind::InputOutput, "state", error.message()));
        }
    } else {
        m_source.reportFailure("peer_request_refused", "unknown", message.error());
    }
    --m_activeConnections;
}

Result<GossipMessage> PeerStateTransfer::readMessage(std::string_view bytes) const
{
    Result<GossipMessage> message = GossipCodec::decodeMessage(bytes, m_clock.now());
    if (message && message->deployment != m_deployment) {
        return failure(ErrorKind::WrongDeployment, message->sender.id, "it belongs to " + message->deployment);
    }
    return message;
}

} // namespace Samphirepitch
