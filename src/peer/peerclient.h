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
 * The connection of the operators' client to an instance: connect, Hello, one query, one reply.
 *
 * Each call fails with Unavailable if nothing was sent, DeadlineExceeded, WrongDeployment, UnsupportedVersion or Malformed.
 */
class PeerClient
{
public:
    /**
     * @param deployment name of the deployment that the instances must belong to
     * @param clock the clock of the deadlines; outlives the client
     */
    PeerClient(std::string deployment, const Clock &clock);

    /** Asks for the status of the failure domains that the instance knows. */
    asio::awaitable<Result<StatusReply>> status(Endpoint instance, TimePoint deadline);

    /** Asks for the events after @p afterSequence. */
    asio::awaitable<Result<EventsReply>> events(Endpoint instance, std::uint64_t afterSequence, TimePoint deadline);

    /** Asks the instance to stop gracefully; also OutcomeUnknown if the request was sent and no answer came. */
    asio::awaitable<Result<DrainReply>> drain(Endpoint instance, TimePoint deadline);

private:
    asio::awaitable<Result<Message>> sendQuery(Endpoint instance, Message query, TimePoint deadline);
    asio::awaitable<Result<void>> openConnection(asio::ip::tcp::socket &socket, Endpoint instance);

    std::string m_deployment;
    const Clock &m_clock;
    HybridClock m_hybridClock;
};

} // namespace Samphirepitch
