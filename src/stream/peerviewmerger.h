#pragma once

#include "core/clock.h"
#include "stream/gossipcodec.h"

namespace Samphirepitch
{

class StreamRouter;

/** Applies what other instances know of the store to the router of this instance, and collects what this instance knows for them. */
class PeerViewMerger
{
public:
    /** @param router must outlive this object */
    explicit PeerViewMerger(StreamRouter &router);

    /**
     * Applies a message of another instance.
     * @return whether the router is now as recent as the sender; otherwise the sender's state has to be pulled
     */
    bool apply(const GossipMessage &message);

    /** Applies the state of another instance. */
    void apply(PeerState state);

    /** Sets the view and the evacuations of a message. If the evacuations don't fit, the message has only their number. */
    void describe(GossipMessage &message) const;

    /** Sets the part of a state that an instance with the view @p known lacks. */
    void describe(PeerState &state, const ViewStatus &known) const;

    /** Returns when the view of any other instance was last complete, according to its messages. */
    TimePoint peerConfirmedAt() const;

private:
    void applyServers(const PeerState &state, StorePosition known);

    StreamRouter &m_router;
    TimePoint m_peerConfirmedAt {};
};

} // namespace Samphirepitch
