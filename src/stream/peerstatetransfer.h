#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "stream/gossipcodec.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Samphirepitch
{

class TransferDeadline;

/** Provides the states that other instances request, and records failed requests. */
class PeerStateSource
{
public:
    virtual ~PeerStateSource() = default;

    /** Returns the part of the state that the sender of @p request lacks according to the view in the request. */
    virtual PeerState stateFor(const GossipMessage &request) = 0;

    /**
     * Records that a request was rejected or that its state could not be sent.
     * @param event name of the event to record
     * @param peer id of the requesting instance, or "unknown"
     */
    virtual void reportFailure(std::string_view event, const std::string &peer, const Error &error) = 0;
};

/**
 * Transfers states between instances over TCP. Each connection carries one request and one response. Large states are sent one at a time:
 * if many instances request one at once, each gets it in a short time, and the next ones can get it from those. A transfer that takes long
 * no longer keeps others waiting after a short time.
 */
class PeerStateTransfer
{
public:
    /**
     * @param executor runs all operations; single-threaded
     * @param clock must outlive the transfer
     * @param deployment messages and states of other deployments are rejected
     * @param source must outlive the transfer
     */
    PeerStateTransfer(asio::any_io_executor executor, const Clock &clock, std::string deployment, PeerStateSource &source);

    /** Listens at @p address. @return nothing, or InputOutput if the address cannot be bound */
    Result<void> bind(Endpoint address);

    /** Accepts connections and answers their requests until it is cancelled. */
    asio::awaitable<Result<void>> serve();

    /**
     * Requests a state from another instance.
     * @param peer address of the other instance
     * @param request a message of this instance; its view tells the other instance what is missing
     * @return the state; Unavailable if the connection failed or took too long, Malformed, TooLarge, or WrongDeployment if the peer belongs
     *  to another deployment
     */
    asio::awaitable<Result<PeerState>> fetch(Endpoint peer, GossipMessage request);

    /**
     * Decodes a message and checks its deployment.
     * @param arrivedAt the time of arrival, to which the ages in the message refer
     * @return the message, Malformed, TooLarge, or WrongDeployment if the sender belongs to another deployment
     */
    Result<GossipMessage> readMessage(std::string_view bytes, TimePoint arrivedAt) const;

private:
    struct EncodedState {
        std::string frame;
        ViewStatus view; // of the sender
    };

    // The large state that was last sent. A request that lacks the same content is taken for one that needs a large state, too.
    struct SendSlot {
        TimePoint deadline {}; // until then, the state is being sent and others wait
        ViewStatus view; // of the sender
        ViewStatus known; // of the instance that requested the state
    };

    asio::awaitable<void> serveConnection(asio::ip::tcp::socket socket);
    asio::awaitable<void> sendState(asio::ip::tcp::socket &socket, const GossipMessage &request, TransferDeadline &deadline);
    Result<EncodedState> encodeIf(bool isAdmitted, const GossipMessage &request);
    asio::awaitable<bool> awaitSendSlot();
    bool needsLargeState(const ViewStatus &known) const;
    bool isSendSlotFree() const;

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    std::string m_deployment;
    PeerStateSource &m_source;
    asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_activeConnections = 0; // accepted connections that are still open
    SendSlot m_sendSlot;
    std::size_t m_waitingRequests = 0; // requests that wait for the slot
};

} // namespace Samphirepitch
