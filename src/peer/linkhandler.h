#pragma once

#include "core/endpoint.h"
#include "core/error.h"
#include "peer/message.h"

#include <memory>

namespace Samphirepitch
{

class PeerLink;

/** Decides what the links of an instance say and hears what they receive. */
class LinkHandler
{
public:
    virtual ~LinkHandler() = default;

    /** The Hello of this instance now. */
    virtual Hello localHello() const = 0;

    /** The hybrid time for a message that is sent now. */
    virtual HybridTime sendTime() = 0;

    /** The hybrid time of a message that was received. */
    virtual void observeTime(HybridTime at) = 0;

    /** Both Hellos were exchanged. @return false if the link is not wanted; it is then closed without linkDown() */
    virtual bool linkUp(const std::shared_ptr<PeerLink> &link) = 0;

    /** A message other than Hello came. @return false if its type is not allowed on this link; it is then closed */
    virtual bool received(PeerLink &link, Message &&message) = 0;

    /** A link for which linkUp() returned true has closed. */
    virtual void linkDown(PeerLink &link, const Error &reason) = 0;

    /** No link could be made to @p address. */
    virtual void dialFailed(Endpoint address, const Error &reason) = 0;
};

} // namespace Samphirepitch
