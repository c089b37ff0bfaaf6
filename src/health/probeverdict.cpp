#include "health/probeverdict.h"

namespace Samphirepitch
{

ProbeVerdict::ProbeVerdict(bool isUp)
    : m_isUp(isUp)
{
}

bool ProbeVerdict::probed(bool good)
{
    const std::uint32_t needed = good ? successesUntilUp : failuresUntilDown;
    if (good != m_lastGood) {
        m_run = 0;
    }
    m_lastGood = good;
    if (m_run < needed) {
        ++m_run;
    }
    if (m_run < needed) {
        return false;
    }
    m_isOwn = true;
    if (m_isUp == good) {
        return false;
    }
    m_isUp = good;
    return true;
}

void ProbeVerdict::stateSpread(bool isUp)
{
    if (!m_isOwn) {
        m_isUp = isUp;
    }
}

bool ProbeVerdict::isUp() const
{
    return m_isUp;
}

} // namespace Samphirepitch
