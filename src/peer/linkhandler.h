#pragma once

#include "core/endpoint.h"
#include "core/error.h"
#include "peer/message.h"

#include <memory>

namespace Samphirepitch
{

class PeerLink;

/** Provides the values that the links of an instance send, and handles what they receive. */
class LinkHandler
{
public:
    virtual ~LinkHandler() = default;

    /** Returns the Hello message of this instance with its current values. */
    virtual Hello localHello() const = 0;

    /** Advances the hybrid clock and returns its time for a message that is sent now. */
    virtual HybridTime sendTime() = 0;

    /** Updates the hybrid clock with the time @p at of a received message. */
    virtual void observeTime(HybridTime at) = 0;

    /**
     * Handles a link on which the Hello messages have been exchanged.
     * @return false if the link is not needed; it is then closed without a call of linkDown()
     */
    virtual bool linkUp(const std::shared_ptr<PeerLink> &link) = 0;

    /**
     * Handles a message other than the first Hello.
     * @return false if its type is not allowed on this link, which is then closed
     */
    virtual bool received(PeerLink &link, Message &&message) = 0;

    /** Handles the end of a link for which linkUp() returned true. */
    virtual void linkDown(PeerLink &link, const Error &reason) = 0;

    /** Handles a failed attempt to connect to @p address. */
    virtual void dialFailed(Endpoint address, const Error &reason) = 0;
};

} // namespace Samphirepitch
