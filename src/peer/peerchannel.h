#pragma once

#include "peer/message.h"

#include <string>

namespace Samphirepitch
{

/** Sends messages to linked peers. */
class PeerChannel
{
public:
    virtual ~PeerChannel() = default;

    /**
     * Sends @p message to one peer.
     * @param peer id of the receiver
     * @return false if there is no open link to the peer, or if its queue has no room for the message
     */
    virtual bool send(const std::string &peer, const Message &message) = 0;
};

} // namespace Samphirepitch
