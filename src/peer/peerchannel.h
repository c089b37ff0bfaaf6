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

    /** Sends to one peer. @return false if there is no link to it or its queue is too full for more parts */
    virtual bool send(const std::string &peer, const Message &message) = 0;
};

} // namespace Samphirepitch
