#pragma once

#include "core/clock.h"

#include <compare>
#include <cstdint>

namespace Samphirepitch
{

/** A reading of a hybrid logical clock; readings order events causally across instances. */
struct HybridTime {
    std::uint64_t wallMs = 0; /**< milliseconds since the Unix epoch */
    std::uint32_t counter = 0; /**< orders readings of the same millisecond */

    // clang-tidy 14 reports the literal 0 that the compiler inserts when it rewrites a < b to (a <=> b) < 0.
    friend auto operator<=>(const HybridTime &, const HybridTime &) = default; // NOLINT(modernize-use-nullptr)
};

/** A hybrid logical clock: near the wall clock, and later than every reading it gave or observed. */
class HybridClock
{
public:
    /** A remote clock further ahead is wrong; following it would move all instances into the future. */
    static constexpr std::chrono::milliseconds maxAhead { 60000 };

    /** Returns a reading for a local event at @p wall. */
    HybridTime tick(WallTime wall);

    /** Returns a reading later than @p remote; a remote more than maxAhead ahead of @p wall is clamped and counted. */
    HybridTime observe(HybridTime remote, WallTime wall);

    /** Number of remote readings that were clamped. */
    std::uint64_t clampedCount() const;

private:
    HybridTime advanceTo(std::uint64_t wallMs, HybridTime floor);

    HybridTime m_last;
    std::uint64_t m_clamped = 0;
};

} // namespace Samphirepitch
