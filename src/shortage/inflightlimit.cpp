#include "shortage/inflightlimit.h"

#include <algorithm>
#include <cmath>

namespace Samphirepitch
{

namespace
{

// Below this share of the response time, the estimate of the time on the way is not precise enough.
constexpr double minServerPart = 0.1;

// A limit below this is treated as this one, so that the time to the next request stays finite.
constexpr double minLimit = 0.01;

double toMilliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::chrono::nanoseconds fromMilliseconds(double time)
{
    return std::chrono::nanoseconds(std::llround(time * 1e6));
}

} // namespace

void InFlightLimit::setShare(double slots, double share)
{
    m_share = slots * inFlightPerSlot * std::clamp(share, 0.0, 1.0);
}

void InFlightLimit::recordResponse(std::chrono::nanoseconds responseTime, std::chrono::nanoseconds networkTime)
{
    const double time = toMilliseconds(responseTime);
    m_responseMs = m_responseMs == 0 ? time : m_responseMs + (time - m_responseMs) * averageStep;
    m_networkMs = std::min(toMilliseconds(networkTime), m_responseMs);
    m_shortestMs = m_shortestMs == 0 ? m_responseMs : std::min(m_shortestMs, m_responseMs);
    if (m_window < maxWindow && m_responseMs < m_shortestMs * growthTolerance) {
        m_window += 1;
    }
}

bool InFlightLimit::mayStart(std::size_t inFlight, TimePoint now) const
{
    const double allowed = limit();
    const double whole = std::floor(allowed);
    if (static_cast<double>(inFlight) < whole) {
        return true;
    }
    return static_cast<double>(inFlight) < allowed && now >= m_nextExtra;
}

void InFlightLimit::recordStart(std::size_t inFlight, TimePoint now)
{
    const double allowed = limit();
    const double whole = std::floor(allowed);
    if (static_cast<double>(inFlight) >= whole) {
        // A request that uses the fraction of the limit takes all of it for its response time and then pauses, so that the average holds.
        const double fraction = std::max(allowed - whole, minLimit);
        m_nextExtra = now + fromMilliseconds(toMilliseconds(responseTime()) / fraction);
    }
}

bool InFlightLimit::isStarting() const
{
    return m_window < maxWindow && m_window < m_share / serverPart();
}

double InFlightLimit::limit() const
{
    // The share counts requests at the servers; those on the way are in flight as well.
    const double byShare = std::max(m_share / serverPart(), minLimit);
    return m_window < maxWindow ? std::min(byShare, m_window) : byShare;
}

std::chrono::nanoseconds InFlightLimit::responseTime() const
{
    return m_responseMs == 0 ? std::chrono::nanoseconds(defaultResponseTime) : fromMilliseconds(m_responseMs);
}

double InFlightLimit::serverPart() const
{
    return m_responseMs == 0 ? 1 : std::clamp((m_responseMs - m_networkMs) / m_responseMs, minServerPart, 1.0);
}

double InFlightLimit::requestsPerSecond() const
{
    return limit() / std::chrono::duration<double>(responseTime()).count();
}

} // namespace Samphirepitch
