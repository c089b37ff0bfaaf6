#include "stream/peerviewmerger.h"

#include "stream/streamrouter.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr std::size_t bytesPerEvacuation = 24; // of an encoded evacuation beside its domain, at most in practice

} // namespace

PeerViewMerger::PeerViewMerger(StreamRouter &router)
    : m_router(router)
{
}

bool PeerViewMerger::apply(const GossipMessage &message)
{
    const ViewStatus mine = m_router.viewStatus();
    const ViewStatus &theirs = message.view;
    m_peerConfirmedAt = std::max(m_peerConfirmedAt, std::min(theirs.serversConfirmedAt, theirs.configurationConfirmedAt));
    // Changes continue a view only within an era, and a view from before the store's return from an older copy confirms nothing.
    const bool isSameEra = theirs.serversPosition.era() == mine.serversPosition.era();
    bool complete = true;
    if (theirs.serversPosition <= mine.serversPosition) {
        if (isSameEra && !theirs.serversPosition.isUnset()) {
            m_router.confirmServers(theirs.serversConfirmedAt);
        }
    } else if (isSameEra && !mine.serversPosition.isUnset() && message.baseRevision > 0
        && message.baseRevision <= mine.serversPosition.revision()) {
        m_router.applyServerUpdates({ message.changes, theirs.serversPosition }, theirs.serversConfirmedAt);
    } else {
        complete = false;
    }
    if (theirs.hasNewerConfiguration(mine)) {
        complete = false;
    } else if (theirs.configurationVersion == mine.configurationVersion && !theirs.configurationPosition.isUnset()) {
        m_router.confirmConfiguration(theirs.configurationCheckedPosition, theirs.configurationConfirmedAt);
    }
    const bool hasEvacuations
        = m_router.evacuations().merge(message.evacuations, theirs.evacuationsPosition, theirs.evacuationsConfirmedAt);
    return complete && hasEvacuations;
}

void PeerViewMerger::apply(PeerState state)
{
    const ViewStatus mine = m_router.viewStatus();
    // Before the servers, so that no flow is placed on a server in a domain that is evacuated.
    m_router.evacuations().merge(state.evacuations, state.view.evacuationsPosition, state.view.evacuationsConfirmedAt);
    if (state.view.serversPosition > mine.serversPosition) {
        applyServers(state, mine.serversPosition);
    }
    if (state.view.hasNewerConfiguration(mine)) {
        m_router.applyConfiguration(std::move(state.configuration));
        m_router.confirmConfiguration(state.view.configurationCheckedPosition, state.view.configurationConfirmedAt);
    }
}

void PeerViewMerger::applyServers(const PeerState &state, StorePosition known)
{
    if (state.baseRevision > 0) {
        if (state.view.serversPosition.era() == known.era() && state.baseRevision <= known.revision()) {
            m_router.applyServerUpdates({ state.changes, state.view.serversPosition }, state.view.serversConfirmedAt);
        }
        return;
    }
    std::vector<StreamServer> servers;
    for (const ServerUpdate &change : state.changes) {
        if (change.listed) {
            servers.push_back(*change.listed);
        }
    }
    m_router.replaceServers(servers, {}, state.view.serversPosition, state.view.serversConfirmedAt);
}

void PeerViewMerger::describe(GossipMessage &message) const
{
    message.view = m_router.viewStatus();
    message.evacuations = m_router.evacuations().all();
    std::size_t bytes = 0;
    for (const Evacuation &evacuation : message.evacuations.evacuations) {
        bytes += evacuation.domain.size() + bytesPerEvacuation;
    }
    if (message.evacuations.count > GossipCodec::maxEvacuations || bytes > GossipCodec::maxEvacuationBytes) {
        message.evacuations.evacuations.clear();
    }
}

void PeerViewMerger::describe(PeerState &state, const ViewStatus &known) const
{
    state.view = m_router.viewStatus();
    state.evacuations = m_router.evacuations().all();
    if (known.serversPosition < state.view.serversPosition) {
        if (auto changes = m_router.directory().changesAfter(known.serversPosition)) {
            state.baseRevision = known.serversPosition.revision();
            state.changes = *std::move(changes);
        } else {
            state.changes = m_router.directory().completeList();
        }
    }
    if (state.view.hasNewerConfiguration(known)) {
        state.configuration = m_router.configuration();
    }
}

TimePoint PeerViewMerger::peerConfirmedAt() const
{
    return m_peerConfirmedAt;
}

} // namespace Samphirepitch
