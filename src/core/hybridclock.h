#pragma once

#include "core/clock.h"

#include <compare>
#include <cstdint>

namespace Samphirepitch
{

/** A timestamp of a hybrid logical clock. Timestamps order events causally across instances. */
struct HybridTime {
    std::uint64_t wallMs = 0; /**< milliseconds since the Unix epoch */
    std::uint32_t counter = 0; /**< orders timestamps of the same millisecond */

    // clang-tidy 14 reports the literal 0 that the compiler inserts when it rewrites a < b to (a <=> b) < 0.
    friend auto operator<=>(const HybridTime &, const HybridTime &) = default; // NOLINT(modernize-use-nullptr)
};

/** A hybrid logical clock: it follows the wall clock, and each timestamp is later than all that it returned or observed before. */
class HybridClock
{
public:
    /**
     * Largest accepted lead of a remote clock. A clock further ahead is wrong, and adopting its time would advance the clocks of all
     * instances.
     */
    static constexpr std::chrono::milliseconds maxAhead { 60000 };

    /** Returns a timestamp for a local event at the wall time @p wall. */
    HybridTime tick(WallTime wall);

    /**
     * Returns a timestamp for the receipt of a message, later than the timestamp of the message.
     * @param remote timestamp of the message; one more than maxAhead ahead of @p wall is clamped to that limit and counted
     * @param wall current wall time of this instance
     */
    HybridTime observe(HybridTime remote, WallTime wall);

    /** Returns the number of remote timestamps that were clamped. */
    std::uint64_t clampedCount() const;

private:
    HybridTime advanceTo(std::uint64_t wallMs, HybridTime floor);

    HybridTime m_last;
    std::uint64_t m_clamped = 0;
};

} // namespace Samphirepitch
