#include "health/probedserverstate.h"

namespace Samphirepitch
{

ProbedServerState::ProbedServerState(bool isUp)
    : m_isUp(isUp)
{
}

bool ProbedServerState::recordProbe(bool success)
{
    const std::uint32_t threshold = success ? successesUntilUp : failuresUntilDown;
    if (success != m_lastSuccess) {
        m_sameResults = 0;
    }
    m_lastSuccess = success;
    if (m_sameResults < threshold) {
        ++m_sameResults;
    }
    if (m_sameResults < threshold) {
        return false;
    }
    m_hasOwnResult = true;
    if (m_isUp == success) {
        return false;
    }
    m_isUp = success;
    return true;
}

void ProbedServerState::stateReported(bool isUp)
{
    if (!m_hasOwnResult) {
        m_isUp = isUp;
    }
}

bool ProbedServerState::isUp() const
{
    return m_isUp;
}

} // namespace Samphirepitch
