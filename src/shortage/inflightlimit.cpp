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

// How much the shortest average may grow with a response. A few rejections by full servers, which come at once, would otherwise make every
// later response look slow, so that the window never ended.
constexpr double shortestGrowth = 1.02;

// Requests that wait are checked at least this often.
constexpr std::chrono::milliseconds maxStartDelay { 5 };

double toMilliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::chrono::nanoseconds fromMilliseconds(double time)
{
    return std::chrono::nanoseconds(std::llround(time * 1e6));
}

} // namespace

void InFlightLimit::setShare(double slots, double share, double load, std::chrono::nanoseconds target)
{
    // With several requests for each slot, most of the time at a server is spent waiting for the others.
    const double workMs = toMilliseconds(responseTime()) * serverPart() / std::max(load, 1.0);
    const double byTarget = target.count() == 0 ? maxInFlightPerSlot : toMilliseconds(target) * targetPart / workMs;
    m_isUseful = byTarget >= minUsefulPerSlot;
    m_share = slots * std::clamp(byTarget, 1.0, maxInFlightPerSlot) * std::clamp(share, 0.0, 1.0);
}

void InFlightLimit::recordResponse(std::chrono::nanoseconds inFlightTime, std::chrono::nanoseconds serverTime)
{
    const bool isFirst = m_inFlightMs == 0;
    const double step = isFirst ? 1 : averageStep;
    m_inFlightMs += (toMilliseconds(inFlightTime) - m_inFlightMs) * step;
    m_serverMs += (toMilliseconds(serverTime) - m_serverMs) * step;
    m_shortestMs = isFirst ? m_inFlightMs : std::min(m_shortestMs * shortestGrowth, m_inFlightMs);
    if (m_window < maxWindow && m_inFlightMs < m_shortestMs * growthTolerance) {
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
    return static_cast<double>(inFlight) < allowed && now >= m_lastExtra + pause(allowed - whole);
}

void InFlightLimit::recordStart(std::size_t inFlight, TimePoint now)
{
    const double allowed = limit();
    const double whole = std::floor(allowed);
    if (static_cast<double>(inFlight) >= whole) {
        // The pause counts from when the request could have started, since this is checked only every few milliseconds.
        const TimePoint due = m_lastExtra + pause(allowed - whole);
        m_lastExtra = std::clamp(due, now - std::chrono::milliseconds(maxStartDelay), now);
    }
}

std::chrono::nanoseconds InFlightLimit::pause(double fraction) const
{
    // A request that uses the fraction of the limit takes all of it for its response time and then pauses, so that the average holds.
    return fromMilliseconds(toMilliseconds(responseTime()) / std::max(fraction, minLimit));
}

bool InFlightLimit::isStarting() const
{
    return m_window < maxWindow;
}

bool InFlightLimit::isUseful() const
{
    return m_isUseful;
}

double InFlightLimit::limit() const
{
    // The share counts requests at the servers; those on the way are in flight as well.
    const double byShare = std::max(m_share / serverPart(), minLimit);
    return m_window < maxWindow ? std::min(byShare, m_window) : byShare;
}

std::chrono::nanoseconds InFlightLimit::responseTime() const
{
    return m_inFlightMs == 0 ? std::chrono::nanoseconds(defaultResponseTime) : fromMilliseconds(m_inFlightMs);
}

double InFlightLimit::serverPart() const
{
    return m_inFlightMs == 0 ? 1 : std::clamp(m_serverMs / m_inFlightMs, minServerPart, 1.0);
}

double InFlightLimit::requestsPerSecond() const
{
    return limit() / std::chrono::duration<double>(responseTime()).count();
}

} // namespace Samphirepitch
