#include "lib/ratelimit.h"

#include <algorithm>

namespace Samphirepitch::StandIn
{

RateLimit::RateLimit(std::uint64_t callsPerSecond)
    : m_limit(callsPerSecond)
{
}

bool RateLimit::admit(TimePoint now)
{
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != m_second) {
        m_second = second;
        m_calls = 0;
    }
    ++m_calls;
    m_peak = std::max(m_peak, m_calls);
    return m_calls <= m_limit;
}

void RateLimit::changeLimit(std::uint64_t callsPerSecond)
{
    m_limit = callsPerSecond;
}

std::uint64_t RateLimit::limit() const
{
    return m_limit;
}

std::uint64_t RateLimit::peak() const
{
    return m_peak;
}

} // namespace Samphirepitch::StandIn
