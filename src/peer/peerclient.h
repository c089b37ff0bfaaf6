#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "core/error.h"
#include "peer/message.h"

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace Samphirepitch
{

/**
 * Client of the operators' tools for queries to instances. Each call opens a connection, exchanges Hello messages, sends one query
 * and reads one reply.
 *
 * Each call fails with Unavailable if the instance could not be reached or the connection ended, DeadlineExceeded if the deadline
 * passed, WrongDeployment or UnsupportedVersion if the instance has another deployment or protocol version, or Malformed or TooLarge
 * for an invalid reply.
 */
class PeerClient
{
public:
    /**
     * @param deployment name of the deployment that the instances must belong to
     * @param clock clock that the deadlines refer to; must outlive the client
     */
    PeerClient(std::string deployment, const Clock &clock);

    /** Queries the status of all failure domains that the instance knows. */
    asio::awaitable<Result<StatusReply>> status(Endpoint instance, TimePoint deadline);

    /** Queries the events with a sequence number above @p afterSequence. */
    asio::awaitable<Result<EventsReply>> events(Endpoint instance, std::uint64_t afterSequence, TimePoint deadline);

    /** Requests a graceful stop of the instance. Fails with OutcomeUnknown if the request was sent and no reply arrived. */
    asio::awaitable<Result<DrainReply>> drain(Endpoint instance, TimePoint deadline);

private:
    asio::awaitable<Result<Message>> sendQuery(Endpoint instance, Message query, TimePoint deadline);
    asio::awaitable<Result<void>> openConnection(asio::ip::tcp::socket &socket, Endpoint instance);

    std::string m_deployment;
    const Clock &m_clock;
    HybridClock m_hybridClock;
};

} // namespace Samphirepitch
