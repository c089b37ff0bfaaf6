#include "peer/dialbackoff.h"

#include "core/random.h"

#include <algorithm>

namespace Samphirepitch
{

DialBackoff::DialBackoff(RandomSource &random)
    : m_random(random)
{
}

std::chrono::milliseconds DialBackoff::next()
{
    const std::chrono::milliseconds half = m_bound / 2;
    const std::chrono::milliseconds delay = half + std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(half.count())));
    m_bound = std::min(m_bound * 2, longest);
    return delay;
}

void DialBackoff::reset()
{
    m_bound = first;
}

} // namespace Samphirepitch
