#include "shortage/shortagemonitor.h"

namespace Samphirepitch
{

bool ShortageMonitor::record(double inFlight, std::uint32_t slots, TimePoint now)
{
    const bool before = m_short;
    if (!isShort(now)) {
        m_short = false;
    }
    m_lastRecord = now;
    const double load = slots == 0 ? 0 : inFlight / slots;
    if (load >= shortAt) {
        m_short = true;
        m_belowSince = TimePoint();
    } else if (load >= ampleBelow) {
        m_belowSince = TimePoint();
    } else {
        m_belowSince = m_belowSince == TimePoint() ? now : m_belowSince;
        m_short = m_short && now < m_belowSince + ampleDelay;
    }
    return m_short != before;
}

bool ShortageMonitor::isShort(TimePoint now) const
{
    return m_short && now < m_lastRecord + recordLifetime;
}

} // namespace Samphirepitch
