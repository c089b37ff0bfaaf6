#include "stream/serverevidence.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

std::string_view standingName(Standing standing)
{
    switch (standing) {
    case Standing::Trusted:
        return "trusted";
    case Standing::Suspected:
        return "suspected";
    case Standing::Unreachable:
        return "unreachable";
    case Standing::Silent:
        return "silent";
    case Standing::Gone:
        return "gone";
    }
    return "unknown";
}

std::string_view connectResultName(ConnectResult result)
{
    switch (result) {
    case ConnectResult::Accepted:
        return "accepted";
    case ConnectResult::Refused:
        return "refused";
    case ConnectResult::Unanswered:
        return "unanswered";
    case ConnectResult::Inconclusive:
        return "inconclusive";
    }
    return "unknown";
}

void ServerEvidence::progress(std::uint32_t token, TimePoint now)
{
    const auto found = m_states.find(token);
    // Acknowledgements of what a server sent before it ended may still arrive, so progress does not revive it.
    if (found == m_states.end() || found->second.isGone) {
        return;
    }
    State &state = found->second;
    state.failures = 0;
    state.repeated = false;
    state.wantsProbe = false;
    state.suspectedUntil = now;
}

bool ServerEvidence::unanswered(std::uint32_t token, TimePoint now)
{
    const Standing before = standing(token, now);
    State &state = m_states[token];
    state.suspectedUntil = now + suspicionTime;
    state.repeated = true;
    state.wantsProbe = true;
    return standing(token, now) != before;
}

void ServerEvidence::overdue(std::uint32_t token)
{
    m_states[token].wantsProbe = true;
}

void ServerEvidence::recheck(std::uint32_t token)
{
    recheck(m_states[token]);
}

void ServerEvidence::recheck(State &state)
{
    state.wantsProbe = true;
    state.nextProbe = std::min(state.nextProbe, state.lastProbe + probeInterval);
}

void ServerEvidence::packetPassed(std::uint32_t token)
{
    const auto found = m_states.find(token);
    if (found != m_states.end() && (found->second.isGone || found->second.isReported || isSilent(found->second))) {
        recheck(found->second);
    }
}

bool ServerEvidence::connected(std::uint32_t token, ConnectResult result, TimePoint begun, TimePoint now)
{
    const Standing before = standing(token, now);
    State &state = m_states[token];
    if (result == ConnectResult::Inconclusive) {
        state.wantsProbe = true;
        state.nextProbe = now + probeInterval;
        return false;
    }
    state.failures = result == ConnectResult::Unanswered ? state.failures + 1 : 0;
    if (result == ConnectResult::Refused || state.failures >= failuresUntilSilent) {
        state.failedConnection = std::max(state.failedConnection, begun);
    }
    if (state.isGone) {
        const TimePoint accepted = state.acceptedAt == TimePoint() ? now : state.acceptedAt;
        state.acceptedAt = result == ConnectResult::Accepted ? accepted : TimePoint();
        state.wantsProbe = true;
        state.nextProbe = now + recheckInterval;
        return false;
    }
    state.isGone = result == ConnectResult::Refused;
    state.isReported = state.isReported && result != ConnectResult::Accepted;
    state.wantsProbe = result != ConnectResult::Accepted;
    if (result == ConnectResult::Accepted) {
        state.nextProbe = now + probeInterval;
    } else {
        state.nextProbe = now + (state.failures == 1 ? secondProbeDelay : recheckInterval);
    }
    return standing(token, now) != before;
}

std::vector<std::uint32_t> ServerEvidence::takeReturned(TimePoint confirmed, const std::function<bool(std::uint32_t)> &isListed)
{
    std::vector<std::uint32_t> returned;
    for (const auto &[token, state] : m_states) {
        const bool accepts = state.isGone && state.acceptedAt != TimePoint();
        if (accepts && confirmed >= state.acceptedAt + returnTime && isListed(token)) {
            returned.push_back(token);
        }
    }
    for (const std::uint32_t token : returned) {
        m_states.erase(token);
    }
    return returned;
}

bool ServerEvidence::ended(std::uint32_t token, TimePoint now)
{
    State &state = m_states[token];
    if (state.endProvenAt == TimePoint()) {
        state.endProvenAt = now;
    }
    state.wantsProbe = false;
    return !std::exchange(state.isGone, true);
}

bool ServerEvidence::reportedEnded(std::uint32_t token)
{
    State &state = m_states[token];
    return !std::exchange(state.isReported, true) && !state.isGone;
}

bool ServerEvidence::isReportedEnded(std::uint32_t token) const
{
    const State *const state = find(token);
    return state != nullptr && state->isReported;
}

std::vector<std::uint32_t> ServerEvidence::takeDueProbes(TimePoint now, std::size_t most)
{
    std::vector<std::uint32_t> due;
    for (auto &[token, state] : m_states) {
        if (due.size() < most && state.wantsProbe && now >= state.nextProbe) {
            state.wantsProbe = false;
            state.lastProbe = now;
            state.nextProbe = now + probeInterval;
            due.push_back(token);
        }
    }
    return due;
}

Standing ServerEvidence::standing(std::uint32_t token, TimePoint now) const
{
    const State *const state = find(token);
    if (state == nullptr) {
        return Standing::Trusted;
    }
    if (state->isGone) {
        return Standing::Gone;
    }
    if (state->failures > 0) {
        return isSilent(*state) ? Standing::Silent : Standing::Unreachable;
    }
    return state->isReported || now < state->suspectedUntil ? Standing::Suspected : Standing::Trusted;
}

bool ServerEvidence::isSilent(const State &state)
{
    // A server whose queue of connections is full drops them as well, but acknowledges what clients send.
    const bool isWitnessed = state.repeated || state.isReported;
    return state.failures >= failuresUntilSilent && isWitnessed;
}

TimePoint ServerEvidence::endProvenAt(std::uint32_t token) const
{
    const State *const state = find(token);
    return state == nullptr ? TimePoint() : state->endProvenAt;
}

TimePoint ServerEvidence::failedConnection(std::uint32_t token) const
{
    const State *const state = find(token);
    return state == nullptr ? TimePoint() : state->failedConnection;
}

const ServerEvidence::State *ServerEvidence::find(std::uint32_t token) const
{
    const auto found = m_states.find(token);
    return found == m_states.end() ? nullptr : &found->second;
}

void ServerEvidence::forget(std::uint32_t token)
{
    m_states.erase(token);
}

} // namespace Samphirepitch
