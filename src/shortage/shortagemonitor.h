#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>

namespace Samphirepitch
{

/**
 * Decides whether a service is short: whether the requests that all instances have in flight at its servers use up the slots that can be
 * used. The figures may be estimates. Two thresholds and a delay keep the state from changing with each burst.
 */
class ShortageMonitor
{
public:
    /** Requests in flight per usable slot from which on a service is short. At 1 every slot is busy and further requests wait. */
    static constexpr double shortAt = 0.9;
    /** Requests in flight per usable slot below which a service is ample again. */
    static constexpr double ampleBelow = 0.6;
    /** How long a service has to stay below ampleBelow: the requests that clients repeat after a shortage arrive within this time. */
    static constexpr std::chrono::milliseconds ampleDelay { 1000 };
    /** A state that no record confirms for this long ends, so that it needs no traffic to end. */
    static constexpr std::chrono::milliseconds recordLifetime { 1500 };

    /**
     * Records the load of a service.
     * @param inFlight requests that are at the servers of the service, from all instances
     * @param slots requests that the usable servers can run at the same time; a service without any is not short, because placement
     *  refuses its flows at once
     * @return whether the state changed
     */
    bool record(double inFlight, std::uint32_t slots, TimePoint now);

    /** Returns whether the service is short. */
    bool isShort(TimePoint now) const;

private:
    bool m_short = false;
    TimePoint m_lastRecord {};
    TimePoint m_belowSince {}; // when the load fell below ampleBelow; TimePoint() if it is not below
};

} // namespace Samphirepitch
