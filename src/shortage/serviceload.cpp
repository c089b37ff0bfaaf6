#include "shortage/serviceload.h"

#include <cmath>

namespace Samphirepitch
{

void SmoothedValue::record(double value, std::chrono::nanoseconds elapsed, std::chrono::nanoseconds smoothing)
{
    const double part = 1 - std::exp(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(smoothing));
    m_value += (value - m_value) * part;
}

double SmoothedValue::value() const
{
    return m_value;
}

bool ServiceLoadState::isLimited(TimePoint now) const
{
    // While requests wait, others must not pass them, also if the averages don't show the shortage yet.
    return hasRules && limit.isUseful() && usableSlots > 0 && (monitor.isShort(now) || limit.isStarting() || queue.size() > 0);
}

bool ServiceLoadState::mayStart(std::uint32_t priority, TimePoint now) const
{
    if (!isLimited(now)) {
        return true;
    }
    if (priority == mostUrgent) {
        const bool mayUseUp = urgentMonitor.isShort(now) || limit.isStarting();
        return !mayUseUp || limit.mayStart(urgentInFlight, now);
    }
    return limit.mayStart(inFlight, now);
}

double ServiceLoadState::atServers() const
{
    return averageInFlight.value() * limit.serverPart();
}

} // namespace Samphirepitch
