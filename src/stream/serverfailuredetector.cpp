#include "stream/serverfailuredetector.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

std::string_view serverStatusName(ServerStatus status)
{
    switch (status) {
    case ServerStatus::Trusted:
        return "trusted";
    case ServerStatus::Suspected:
        return "suspected";
    case ServerStatus::Unreachable:
        return "unreachable";
    case ServerStatus::Silent:
        return "silent";
    case ServerStatus::Gone:
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

void ServerFailureDetector::recordResponse(std::uint32_t token, TimePoint now)
{
    const auto found = m_states.find(token);
    // Clients may still acknowledge data that a server sent before it ended, so responses don't make a gone server trusted.
    if (found == m_states.end() || found->second.isGone) {
        return;
    }
    State &state = found->second;
    state.consecutiveTimeouts = 0;
    state.comparedTimeouts = 0;
    state.retransmitted = false;
    state.probeRequested = false;
    state.suspectedUntil = now;
    state.claimedAt = TimePoint();
}

bool ServerFailureDetector::recordRetransmission(std::uint32_t token, TimePoint now)
{
    const ServerStatus before = status(token, now);
    State &state = m_states[token];
    state.suspectedUntil = now + suspicionTime;
    state.retransmitted = true;
    state.probeRequested = true;
    return status(token, now) != before;
}

void ServerFailureDetector::requestProbe(std::uint32_t token)
{
    m_states[token].probeRequested = true;
}

void ServerFailureDetector::expediteProbe(std::uint32_t token)
{
    expediteProbe(m_states[token]);
}

void ServerFailureDetector::expediteProbe(State &state)
{
    state.probeRequested = true;
    state.nextProbe = std::min(state.nextProbe, state.lastProbe + minProbeInterval);
}

void ServerFailureDetector::recordForwardedPacket(std::uint32_t token)
{
    const auto found = m_states.find(token);
    if (found != m_states.end() && (found->second.isGone || found->second.endReported || isSilent(found->second))) {
        expediteProbe(found->second);
    }
}

bool ServerFailureDetector::recordProbeResult(std::uint32_t token, ConnectResult result, TimePoint probeStart, TimePoint now)
{
    const ServerStatus before = status(token, now);
    State &state = m_states[token];
    if (result == ConnectResult::Inconclusive) {
        state.probeRequested = true;
        state.nextProbe = now + minProbeInterval;
        return false;
    }
    if (result == ConnectResult::Unanswered) {
        ++state.consecutiveTimeouts;
        state.comparedTimeouts += m_lastAnsweredProbe >= probeStart ? 1 : 0;
    } else {
        state.consecutiveTimeouts = 0;
        state.comparedTimeouts = 0;
        state.retransmitted = false;
        m_lastAnsweredProbe = std::max(m_lastAnsweredProbe, probeStart);
    }
    if (result == ConnectResult::Refused || state.comparedTimeouts >= timeoutsUntilSilent) {
        state.lastFailedProbe = std::max(state.lastFailedProbe, probeStart);
    }
    if (state.isGone) {
        const TimePoint accepted = state.acceptedAt == TimePoint() ? now : state.acceptedAt;
        state.acceptedAt = result == ConnectResult::Accepted ? accepted : TimePoint();
        state.probeRequested = true;
        state.nextProbe = now + failedProbeInterval;
        return false;
    }
    state.isGone = result == ConnectResult::Refused;
    state.endReported = state.endReported && result != ConnectResult::Accepted;
    state.probeRequested = result != ConnectResult::Accepted;
    if (result == ConnectResult::Accepted) {
        state.nextProbe = now + minProbeInterval;
    } else {
        const bool mayDecide = state.comparedTimeouts < timeoutsUntilSilent && state.consecutiveTimeouts <= timeoutsUntilSilent;
        state.nextProbe = now + (mayDecide ? secondProbeDelay : failedProbeInterval);
    }
    return status(token, now) != before;
}

std::vector<std::uint32_t> ServerFailureDetector::takeRecovered(TimePoint confirmed, const std::function<bool(std::uint32_t)> &isListed)
{
    std::vector<std::uint32_t> recovered;
    for (const auto &[token, state] : m_states) {
        const bool accepts = state.isGone && state.acceptedAt != TimePoint();
        if (accepts && confirmed >= state.acceptedAt + recoveryConfirmationTime && isListed(token)) {
            recovered.push_back(token);
        }
    }
    for (const std::uint32_t token : recovered) {
        m_states.erase(token);
    }
    return recovered;
}

void ServerFailureDetector::recordDraining(std::uint32_t token)
{
    const auto found = m_states.find(token);
    if (found != m_states.end()) {
        found->second.consecutiveTimeouts = 0;
        found->second.comparedTimeouts = 0;
    }
}

bool ServerFailureDetector::recordProvenEnd(std::uint32_t token, TimePoint now)
{
    State &state = m_states[token];
    if (state.endProvenAt == TimePoint()) {
        state.endProvenAt = now;
    }
    state.probeRequested = false;
    return !std::exchange(state.isGone, true);
}

bool ServerFailureDetector::recordReportedEnd(std::uint32_t token)
{
    State &state = m_states[token];
    return !std::exchange(state.endReported, true) && !state.isGone;
}

bool ServerFailureDetector::isEndReported(std::uint32_t token) const
{
    const State *const state = find(token);
    return state != nullptr && state->endReported;
}

void ServerFailureDetector::recordAddressClaim(std::uint32_t token, TimePoint now)
{
    m_states[token].claimedAt = now;
}

void ServerFailureDetector::clearAddressClaim(std::uint32_t token)
{
    if (const auto found = m_states.find(token); found != m_states.end()) {
        found->second.claimedAt = TimePoint();
    }
}

bool ServerFailureDetector::isAddressClaimed(std::uint32_t token) const
{
    const State *const state = find(token);
    return state != nullptr && state->claimedAt != TimePoint();
}

std::vector<std::uint32_t> ServerFailureDetector::takeDueProbes(TimePoint now, std::size_t maxCount)
{
    std::vector<std::uint32_t> due;
    for (auto &[token, state] : m_states) {
        if (due.size() < maxCount && state.probeRequested && now >= state.nextProbe) {
            state.probeRequested = false;
            state.lastProbe = now;
            state.nextProbe = now + minProbeInterval;
            due.push_back(token);
        }
    }
    return due;
}

bool ServerFailureDetector::startProbe(std::uint32_t token, TimePoint now)
{
    State &state = m_states[token];
    if (now < state.nextProbe) {
        return false;
    }
    state.probeRequested = false;
    state.lastProbe = now;
    state.nextProbe = now + minProbeInterval;
    return true;
}

bool ServerFailureDetector::needsComparison(std::uint32_t token) const
{
    const State *const state = find(token);
    return state != nullptr && !state->isGone && (state->retransmitted || state->consecutiveTimeouts > 0);
}

ServerStatus ServerFailureDetector::status(std::uint32_t token, TimePoint now) const
{
    const State *const state = find(token);
    if (state == nullptr) {
        return ServerStatus::Trusted;
    }
    if (state->isGone) {
        return ServerStatus::Gone;
    }
    if (state->consecutiveTimeouts > 0) {
        return isSilent(*state) ? ServerStatus::Silent : ServerStatus::Unreachable;
    }
    const bool isClaimed = state->claimedAt != TimePoint() && now < state->claimedAt + claimTime;
    return state->endReported || isClaimed || now < state->suspectedUntil ? ServerStatus::Suspected : ServerStatus::Trusted;
}

bool ServerFailureDetector::isSilent(const State &state)
{
    // A server whose listen queue is full drops connections too, but it still acknowledges the packets of clients.
    const bool isCorroborated = state.retransmitted || state.endReported;
    return state.comparedTimeouts >= timeoutsUntilSilent && isCorroborated;
}

TimePoint ServerFailureDetector::endProvenAt(std::uint32_t token) const
{
    const State *const state = find(token);
    return state == nullptr ? TimePoint() : state->endProvenAt;
}

TimePoint ServerFailureDetector::lastFailedProbe(std::uint32_t token) const
{
    const State *const state = find(token);
    return state == nullptr ? TimePoint() : state->lastFailedProbe;
}

const ServerFailureDetector::State *ServerFailureDetector::find(std::uint32_t token) const
{
    const auto found = m_states.find(token);
    return found == m_states.end() ? nullptr : &found->second;
}

void ServerFailureDetector::forget(std::uint32_t token)
{
    m_states.erase(token);
}

} // namespace Samphirepitch
