#pragma once

#include "core/clock.h"

#include <cstdint>

namespace Samphirepitch::StandIn
{

/** Admits a number of calls in each second of the monotonic clock and remembers the busiest second. */
class RateLimit
{
public:
    explicit RateLimit(std::uint64_t callsPerSecond);

    /** Counts a call at @p now. @return whether it is within the limit */
    bool admit(TimePoint now);

    void changeLimit(std::uint64_t callsPerSecond);
    std::uint64_t limit() const;

    /** Returns the number of calls of the busiest second, refused ones included. */
    std::uint64_t peak() const;

private:
    std::uint64_t m_limit;
    std::int64_t m_second = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_peak = 0;
};

} // namespace Samphirepitch::StandIn
