#include "routing/serverhealth.h"

namespace Samphirepitch
{

ServerHealth::State &ServerHealth::state(std::uint32_t machine)
{
    if (machine >= m_states.size()) {
        m_states.resize(machine + 1);
    }
    return m_states[machine];
}

void ServerHealth::answered(std::uint32_t machine, TimePoint now)
{
    State &known = state(machine);
    known.seenAt = now;
    known.failures = 0;
    known.answers = true;
}

void ServerHealth::notAnswered(std::uint32_t machine, TimePoint now)
{
    State &known = state(machine);
    known.seenAt = now;
    known.answers = ++known.failures < failuresUntilDown && known.answers;
}

void ServerHealth::stateSpread(std::uint32_t machine, bool up, WallTime at)
{
    State &known = state(machine);
    if (at > known.spreadAt) {
        known.spreadAt = at;
        known.spreadUp = up;
    }
}

bool ServerHealth::isUp(std::uint32_t machine, TimePoint now) const
{
    if (machine >= m_states.size()) {
        return true;
    }
    const State &known = m_states[machine];
    const bool ownCounts = (known.answers || known.failures >= failuresUntilDown) && now - known.seenAt < ownObservationAge;
    return ownCounts ? known.answers : known.spreadUp;
}

} // namespace Samphirepitch
