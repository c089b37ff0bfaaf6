#include "core/hash.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace Samphirepitch
{

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t mix64(std::uint64_t left, std::uint64_t right)
{
    // The SplitMix64 finalizer: a change of any input bit changes each output bit with a probability of about one half.
    std::uint64_t value = left + 0x9e3779b97f4a7c15ULL * (right + 1);
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

ContentName::ContentName(const std::array<std::uint8_t, size> &bytes)
    : m_bytes(bytes)
{
}

ContentName ContentName::of(std::string_view content)
{
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, hash);
    std::array<std::uint8_t, size> bytes {};
    std::copy(std::begin(canonical.digest), std::end(canonical.digest), bytes.begin());
    return ContentName(bytes);
}

const std::array<std::uint8_t, ContentName::size> &ContentName::bytes() const
{
    return m_bytes;
}

bool ContentName::isUnset() const
{
    return std::all_of(m_bytes.begin(), m_bytes.end(), [](std::uint8_t byte) { return byte == 0; });
}

std::string ContentName::toHex() const
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : m_bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    return text;
}

} // namespace Samphirepitch
