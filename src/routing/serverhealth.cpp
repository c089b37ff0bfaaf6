#include "routing/serverhealth.h"

namespace Samphirepitch
{

ServerHealth::State &ServerHealth::state(std::uint32_t backendServer)
{
    if (backendServer >= m_states.size()) {
        m_states.resize(backendServer + 1);
    }
    return m_states[backendServer];
}

void ServerHealth::answered(std::uint32_t backendServer, TimePoint now)
{
    State &known = state(backendServer);
    known.answeredAt = now;
    known.failures = 0;
}

void ServerHealth::notAnswered(std::uint32_t backendServer, TimePoint sentAt, TimePoint now)
{
    State &known = state(backendServer);
    if (known.answeredAt <= sentAt) {
        known.failedAt = now;
        ++known.failures;
    }
}

void ServerHealth::stateReported(std::uint32_t backendServer, bool up, WallTime at)
{
    State &known = state(backendServer);
    // States arrive in the order of their hybrid times, of which several can share a millisecond.
    if (at >= known.spreadAt) {
        known.spreadAt = at;
        known.spreadUp = up;
    }
}

bool ServerHealth::isUp(std::uint32_t backendServer, TimePoint now) const
{
    if (backendServer >= m_states.size()) {
        return true;
    }
    const State &known = m_states[backendServer];
    if (known.failures >= failuresUntilDown && now - known.failedAt < ownObservationAge) {
        return false;
    }
    const bool hasAnswered = known.answeredAt != TimePoint() && now - known.answeredAt < ownObservationAge;
    return hasAnswered || known.spreadUp;
}

} // namespace Samphirepitch
