#include "routing/serverhealth.h"

namespace Samphirepitch
{

ServerHealth::State &ServerHealth::state(std::uint32_t backendServerId)
{
    if (backendServerId >= m_states.size()) {
        m_states.resize(backendServerId + 1);
    }
    return m_states[backendServerId];
}

void ServerHealth::recordResponse(std::uint32_t backendServerId, TimePoint now)
{
    State &known = state(backendServerId);
    known.respondedAt = now;
    known.failures = 0;
}

void ServerHealth::recordTimeout(std::uint32_t backendServerId, TimePoint sentAt, TimePoint now)
{
    State &known = state(backendServerId);
    if (known.respondedAt <= sentAt) {
        known.failedAt = now;
        ++known.failures;
    }
}

void ServerHealth::stateReported(std::uint32_t backendServerId, bool up, WallTime at)
{
    State &known = state(backendServerId);
    // States arrive in the order of their hybrid timestamps, of which several can have the same wall time.
    if (at >= known.reportedAt) {
        known.reportedAt = at;
        known.reportedUp = up;
    }
}

bool ServerHealth::isUp(std::uint32_t backendServerId, TimePoint now) const
{
    if (backendServerId >= m_states.size()) {
        return true;
    }
    const State &known = m_states[backendServerId];
    if (known.failures >= failuresUntilDown && now - known.failedAt < ownObservationAge) {
        return false;
    }
    const bool hasResponded = known.respondedAt != TimePoint() && now - known.respondedAt < ownObservationAge;
    return hasResponded || known.reportedUp;
}

} // namespace Samphirepitch
