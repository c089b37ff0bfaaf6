#pragma once

#include "peer/message.h"

#include <cstdint>
#include <string>

namespace Samphirepitch
{

/** Hears what peers tell about backend servers, flows and the progress of a change. */
class PeerListener
{
public:
    virtual ~PeerListener() = default;

    /** Backend servers changed; only news that were not delivered before. */
    virtual void serverStatesChanged(const ServerStates &states) = 0;

    /** A peer hands over flows whose bucket this instance owns. */
    virtual void flowExceptionsReceived(const std::string &peer, const FlowExceptionBatch &exceptions) = 0;

    /** A peer holds the flows that were sent to it with this sequence number. */
    virtual void flowExceptionsDelivered(const std::string &peer, std::uint64_t sequence) = 0;

    /** All live members of the reachable failure domains are prepared for @p generation; it only rises. */
    virtual void preparedEverywhere(std::uint64_t generation) = 0;
};

} // namespace Samphirepitch
