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

// A state of some tens of KB takes a few round trips. A peer behind a network partition never answers.
constexpr milliseconds transferTimeout { 400 };

// Delay after a failed accept. File descriptors become free as connections end, which takes at most the transfer timeout.
constexpr milliseconds acceptRetryDelay { 50 };

constexpr std::size_t maxConnections = 512; // accepted connections at once; each uses a file descriptor and the memory of a state
constexpr std::size_t maxRequestSize = 4096; // bytes of the encoded message of a request

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
    const Result<std::string> response = co_await readFrame(socket, FrameCodec::maxBody);
    if (!response) {
        co_return tl::unexpected(response.error());
    }
    Result<PeerState> state = GossipCodec::decodeState(*response, m_clock.now());
    if (state && state->deployment != m_deployment) {
        co_return failure(ErrorKind::WrongDeployment, state->sender.id, "the peer belongs to the deployment " + state->deployment);
    }
    co_return state;
}

asio::awaitable<Result<void>> PeerStateTransfer::serve()
{
    while (true) {
        std::error_code error;
        tcp::socket socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            // For example, the process has too many open files.
            m_source.reportFailure("peer_request_refused", "unknown", Error(ErrorKind::InputOutput, "accept", error.message()));
            asio::steady_timer pause(m_executor, acceptRetryDelay);
            co_await pause.async_wait(asio::use_awaitable);
        } else if (m_activeConnections < maxConnections) {
            ++m_activeConnections;
            asio::co_spawn(m_executor, serveConnection(std::move(socket)), asio::detached);
        } else {
            m_source.reportFailure(
                "peer_request_refused", "unknown", Error(ErrorKind::RateLimited, "states", "too many state requests are being served"));
        }
    }
}

asio::awaitable<void> PeerStateTransfer::serveConnection(tcp::socket socket)
{
    const SocketDeadline limit(socket, transferTimeout);
    const Result<std::string> request = co_await readFrame(socket, maxRequestSize);
    const Result<GossipMessage> message = request ? readMessage(*request) : tl::unexpected(request.error());
    if (message) {
        const Result<std::string> response = FrameCodec::encode(GossipCodec::encode(m_source.stateFor(*message), m_clock.now()));
        std::error_code error;
        if (response) {
            co_await asio::async_write(socket, asio::buffer(*response), asio::redirect_error(asio::use_awaitable, error));
        }
        if (!response) {
            m_source.reportFailure("peer_state_unsent", message->sender.id, response.error());
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
        return failure(ErrorKind::WrongDeployment, message->sender.id, "the peer belongs to the deployment " + message->deployment);
    }
    return message;
}

} // namespace Samphirepitch
