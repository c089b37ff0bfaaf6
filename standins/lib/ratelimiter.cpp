#include "lib/ratelimiter.h"

#include <algorithm>

namespace Samphirepitch::StandIn
{

RateLimiter::RateLimiter(std::uint64_t callsPerSecond)
    : m_limit(callsPerSecond)
{
}

bool RateLimiter::admit(TimePoint now)
{
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != m_currentSecond) {
        m_currentSecond = second;
        m_callsInSecond = 0;
    }
    ++m_callsInSecond;
    m_peakCalls = std::max(m_peakCalls, m_callsInSecond);
    return m_callsInSecond <= m_limit;
}

void RateLimiter::setLimit(std::uint64_t callsPerSecond)
{
    m_limit = callsPerSecond;
}

std::uint64_t RateLimiter::limit() const
{
    return m_limit;
}

std::uint64_t RateLimiter::peakCalls() const
{
    return m_peakCalls;
}

} // namespace Samphirepitch::StandIn
