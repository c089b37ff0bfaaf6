#pragma once

#include "core/clock.h"

#include <cstdint>

namespace Samphirepitch::StandIn
{

/** Limits the number of calls in each second of the monotonic clock (a fixed window) and keeps the highest number. */
class RateLimiter
{
public:
    explicit RateLimiter(std::uint64_t callsPerSecond);

    /** Counts a call at @p now. @return whether the call is within the limit of the current second */
    bool admit(TimePoint now);

    void setLimit(std::uint64_t callsPerSecond);
    std::uint64_t limit() const;

    /** Returns the number of calls in the busiest second, refused ones included. */
    std::uint64_t peakCalls() const;

private:
    std::uint64_t m_limit;
    std::int64_t m_currentSecond = 0;
    std::uint64_t m_callsInSecond = 0;
    std::uint64_t m_peakCalls = 0;
};

} // namespace Samphirepitch::StandIn
