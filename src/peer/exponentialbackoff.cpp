#include "peer/exponentialbackoff.h"

#include "core/random.h"

#include <algorithm>

namespace Samphirepitch
{

ExponentialBackoff::ExponentialBackoff(RandomSource &random)
    : m_random(random)
{
}

std::chrono::milliseconds ExponentialBackoff::nextDelay()
{
    const std::chrono::milliseconds half = m_bound / 2;
    const std::chrono::milliseconds delay = half + std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(half.count())));
    m_bound = std::min(m_bound * 2, maxBound);
    return delay;
}

void ExponentialBackoff::reset()
{
    m_bound = initialBound;
}

} // namespace Samphirepitch
