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

#include <algorithm>
#include <functional>
#include <utility>

namespace Samphirepitch
{

namespace
{

using asio::ip::tcp;
using std::chrono::milliseconds;

// Longest time without progress. A peer behind a network partition never answers. A state itself may take longer: a configuration of
// thousands of routes has some hundreds of KB, which take some hundreds of milliseconds on a link of 10 Mbit/s.
constexpr milliseconds progressTimeout { 400 };

// Bounds the time for which a peer that reads or writes slowly holds a connection. A configuration must be in force after 3 s.
constexpr milliseconds transferTimeout { 3000 };

// A state above smallStateSize is sent to one peer at a time, unless that one is slow. Several at once would delay the packets of clients
// on a slow link by as many times the transfer time, and would all arrive late.
constexpr std::size_t smallStateSize = 16 * 1024; // bytes
constexpr milliseconds sendCheckInterval { 5 };

// Time that a request waits for others to be served. Afterwards it is closed, and its sender asks another instance that has the state by
// then.
constexpr milliseconds sendQueueTimeout { 300 };

// Requests that wait at once. More than these can't be served within sendQueueTimeout.
constexpr std::size_t maxWaitingRequests = 16;

// Time for which a large state keeps others waiting. A peer that reads slowly would otherwise delay a configuration for all others.
constexpr milliseconds sendSlotTimeout { 500 };

// Delay after a failed accept. File descriptors become free as connections end, which takes at most the transfer timeout.
constexpr milliseconds acceptRetryDelay { 50 };

constexpr std::size_t writeChunkSize = 16 * 1024; // bytes

// Bounds what a transfer queues on the link of this instance before the packets of clients.
constexpr int sendBufferSize = 32 * 1024; // bytes

constexpr std::size_t maxConnections = 512; // accepted connections at once; each uses a file descriptor and the memory of a state
constexpr std::size_t maxRequestSize = 4096; // bytes of the encoded message of a request

} // namespace

/** Limits a transfer in time: each part may take progressTimeout, and all parts together transferTimeout. */
class TransferDeadline
{
public:
    TransferDeadline(tcp::socket &socket, const Clock &clock)
        : m_clock(clock)
        , m_end(clock.now() + transferTimeout)
        , m_limit(socket, progressTimeout)
    {
    }

    void recordProgress()
    {
        const std::chrono::nanoseconds remaining = m_end - m_clock.now();
        if (remaining.count() > 0) { // a deadline that has passed must not be replaced, which would discard its handler
            m_limit.extend(std::min<std::chrono::nanoseconds>(progressTimeout, remaining));
        }
    }

private:
    const Clock &m_clock;
    TimePoint m_end;
    SocketDeadline m_limit;
};

namespace
{

asio::awaitable<std::error_code> writeParts(tcp::socket &socket, std::string_view bytes, TransferDeadline &deadline)
{
    std::error_code error;
    while (!bytes.empty() && !error) {
        const std::string_view part = bytes.substr(0, writeChunkSize);
        co_await asio::async_write(socket, asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
        bytes.remove_prefix(part.size());
        deadline.recordProgress();
    }
    co_return error;
}

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
    TransferDeadline deadline(socket, m_clock);
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
    deadline.recordProgress(); // the peer may let the request wait before it answers
    std::function<void()> onProgress = [&deadline] { deadline.recordProgress(); };
    const Result<std::string> response = co_await readFrame(socket, FrameCodec::maxBody, onProgress);
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
    std::error_code ignored; // with another buffer size, only the delay of other packets differs
    socket.set_option(asio::socket_base::send_buffer_size(sendBufferSize), ignored);
    TransferDeadline deadline(socket, m_clock);
    const Result<std::string> request = co_await readFrame(socket, maxRequestSize);
    deadline.recordProgress(); // the request may wait until others are served
    const Result<GossipMessage> message = request ? readMessage(*request, m_clock.now()) : tl::unexpected(request.error());
    if (message) {
        co_await sendState(socket, *message, deadline);
    } else {
        m_source.reportFailure("peer_request_refused", "unknown", message.error());
    }
    --m_activeConnections;
}

asio::awaitable<void> PeerStateTransfer::sendState(tcp::socket &socket, const GossipMessage &request, TransferDeadline &deadline)
{
    bool isAdmitted = true;
    if (!isSendSlotFree() && needsLargeState(request.view)) {
        isAdmitted = co_await awaitSendSlot();
    }
    Result<EncodedState> response = encodeIf(isAdmitted, request);
    if (response && response->frame.size() > smallStateSize && !isSendSlotFree()) {
        response = failure(ErrorKind::RateLimited, "state", "the state waits"); // releases its memory
        isAdmitted = co_await awaitSendSlot();
        response = encodeIf(isAdmitted, request);
    }
    if (!response) {
        m_source.reportFailure("peer_state_unsent", request.sender.id, response.error());
        co_return;
    }
    const bool isLarge = response->frame.size() > smallStateSize;
    const TimePoint slotDeadline = m_clock.now() + sendSlotTimeout;
    if (isLarge) {
        m_sendSlot = { slotDeadline, response->view, request.view };
    }
    deadline.recordProgress();
    const std::error_code error = co_await writeParts(socket, response->frame, deadline);
    if (isLarge && m_sendSlot.deadline == slotDeadline) { // otherwise another transfer has the slot
        m_sendSlot.deadline = TimePoint();
    }
    if (error) {
        m_source.reportFailure("peer_state_unsent", request.sender.id, Error(ErrorKind::InputOutput, "state", error.message()));
    }
}

Result<PeerStateTransfer::EncodedState> PeerStateTransfer::encodeIf(bool isAdmitted, const GossipMessage &request)
{
    if (!isAdmitted) {
        return failure(ErrorKind::RateLimited, "state", "other instances are being served");
    }
    const PeerState state = m_source.stateFor(request);
    Result<std::string> frame = FrameCodec::encode(GossipCodec::encode(state, m_clock.now()));
    if (!frame) {
        return tl::unexpected(frame.error());
    }
    return EncodedState { *std::move(frame), state.view };
}

asio::awaitable<bool> PeerStateTransfer::awaitSendSlot()
{
    if (m_waitingRequests >= maxWaitingRequests) {
        co_return false;
    }
    ++m_waitingRequests;
    const TimePoint queueDeadline = m_clock.now() + sendQueueTimeout;
    asio::steady_timer timer(m_executor);
    while (!isSendSlotFree() && m_clock.now() < queueDeadline) {
        timer.expires_after(sendCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    --m_waitingRequests;
    co_return isSendSlotFree();
}

bool PeerStateTransfer::needsLargeState(const ViewStatus &known) const
{
    const bool hasConfiguration = m_sendSlot.view.hasNewerConfiguration(m_sendSlot.known);
    return hasConfiguration ? m_sendSlot.view.hasNewerConfiguration(known) : known.serversPosition <= m_sendSlot.known.serversPosition;
}

bool PeerStateTransfer::isSendSlotFree() const
{
    return m_clock.now() >= m_sendSlot.deadline;
}

Result<GossipMessage> PeerStateTransfer::readMessage(std::string_view bytes, TimePoint arrivedAt) const
{
    Result<GossipMessage> message = GossipCodec::decodeMessage(bytes, arrivedAt);
    if (message && message->deployment != m_deployment) {
        return failure(ErrorKind::WrongDeployment, message->sender.id, "the peer belongs to the deployment " + message->deployment);
    }
    return message;
}

} // namespace Samphirepitch
