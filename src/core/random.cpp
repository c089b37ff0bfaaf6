#include "core/random.h"

namespace Samphirepitch
{

std::uint64_t RandomSource::below(std::uint64_t bound)
{
    // Multiply-shift reduction: its bias is negligible for the bounds used here, which are at most 2^32.
    return static_cast<std::uint64_t>((static_cast<unsigned __int128>(next()) * bound) >> 64);
}

double RandomSource::uniform()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

SeededRandom::SeededRandom(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t SeededRandom::next()
{
    return m_engine();
}

} // namespace Samphirepitch
