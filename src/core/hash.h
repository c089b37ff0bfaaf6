#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Returns the 64-bit XXH3 hash of @p bytes, which is the same on every instance. */
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/** Returns a hash of an ordered pair of numbers, which is the same on every instance. */
std::uint64_t mix64(std::uint64_t left, std::uint64_t right);

/** Names an immutable part of the configuration by the 128-bit XXH3 hash of its content. */
class ContentName
{
public:
    static constexpr std::size_t size = 16; /**< length of a name in bytes */

    ContentName() = default;
    explicit ContentName(const std::array<std::uint8_t, size> &bytes);

    /** Returns the name of @p content. */
    static ContentName of(std::string_view content);

    const std::array<std::uint8_t, size> &bytes() const;

    /** Returns whether all bytes are zero, which stands for no part. */
    bool isUnset() const;

    /** Returns the name as 32 lower-case hexadecimal digits. */
    std::string toHex() const;

    // clang-tidy 14 reports the literal 0 that the compiler inserts when it rewrites a < b to (a <=> b) < 0.
    friend auto operator<=>(const ContentName &, const ContentName &) = default; // NOLINT(modernize-use-nullptr)

private:
    std::array<std::uint8_t, size> m_bytes {};
};

} // namespace Samphirepitch
