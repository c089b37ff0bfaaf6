#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "stream/gossipcodec.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Gives the states that other instances ask for. */
class PeerStateSource
{
public:
    virtual ~PeerStateSource() = default;

    /** Returns what the sender of @p request lacks. */
    virtual PeerState stateFor(const GossipMessage &request) = 0;

    /** Reports a request that could not be read or answered. */
    virtual void reportFailure(std::string_view event, const std::string &peer, const Error &error) = 0;
};

/** Carries states between instances over connections: one request and one answer each. */
class PeerStateTransfer
{
public:
    /**
     * @param deployment instances of other deployments are refused
     * @param clock, source outlive the transfer
     */
    PeerStateTransfer(asio::any_io_executor executor, const Clock &clock, std::string deployment, PeerStateSource &source);

    /** Listens at @p address. @return nothing, or InputOutput if the address cannot be bound */
    Result<void> bind(Endpoint address);

    /** Hands out states until it is cancelled. */
    asio::awaitable<Result<void>> serve();

    /**
     * Asks another instance for what this one lacks.
     * @param request the own news
     * @return the state, Unavailable, Malformed, TooLarge or WrongDeployment
     */
    asio::awaitable<Result<PeerState>> fetch(Endpoint peer, GossipMessage request);

    /** Reads news. @return the news, Malformed, TooLarge or WrongDeployment */
    Result<GossipMessage> readMessage(std::string_view bytes) const;

private:
    asio::awaitable<void> answer(asio::ip::tcp::socket socket);

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    std::string m_deployment;
    PeerStateSource &m_source;
    asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_activeConnections = 0; // connections that run
};

} // namespace Samphirepitch
