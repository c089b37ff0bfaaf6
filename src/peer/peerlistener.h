#pragma once

#include "peer/message.h"

#include <cstdint>
#include <string>

namespace Samphirepitch
{

/** Receives what peers send about backend servers, flows and the rollout of generations. */
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    /** Handles health changes of backend servers. Each change is delivered once. */
    virtual void serverStatesChanged(const ServerStates &states) = 0;

    /** Stores flows that @p peer hands over because this instance owns their bucket. */
    virtual void flowExceptionsReceived(const std::string &peer, const FlowExceptionBatch &exceptions) = 0;

    /** Handles the acknowledgement of @p peer for the flows that were sent to it with the number @p sequence. */
    virtual void flowExceptionsDelivered(const std::string &peer, std::uint64_t sequence) = 0;

    /** Called when all live members of the reachable failure domains are prepared for @p generation, which only increases. */
    virtual void preparedEverywhere(std::uint64_t generation) = 0;
};

} // namespace Samphirepitch
