#include "core/hybridclock.h"

#include <algorithm>
#include <limits>

namespace Samphirepitch
{

namespace
{

std::uint64_t milliseconds(WallTime wall)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, wall.time_since_epoch().count()));
}

} // namespace

HybridTime HybridClock::tick(WallTime wall)
{
    return advanceTo(milliseconds(wall), m_last);
}

HybridTime HybridClock::observe(HybridTime remote, WallTime wall)
{
    const std::uint64_t limit = milliseconds(wall) + static_cast<std::uint64_t>(maxAhead.count());
    if (remote.wallMs > limit) {
        remote = { limit, 0 };
        ++m_clamped;
    }
    return advanceTo(milliseconds(wall), std::max(m_last, remote));
}

std::uint64_t HybridClock::clampedCount() const
{
    return m_clamped;
}

HybridTime HybridClock::advanceTo(std::uint64_t wallMs, HybridTime floor)
{
    if (wallMs > floor.wallMs) {
        m_last = { wallMs, 0 };
    } else if (floor.counter < std::numeric_limits<std::uint32_t>::max()) {
        m_last = { floor.wallMs, floor.counter + 1 };
    } else {
        m_last = { floor.wallMs + 1, 0 };
    }
    return m_last;
}

} // namespace Samphirepitch
