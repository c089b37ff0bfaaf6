#pragma once

#include <cstdint>

namespace Samphirepitch
{

/** Functions for the sequence numbers of a byte stream, which wrap around. */
namespace SequenceNumber
{

/** Ends of a flow accept numbers at most this far, in bytes, from the last ones that they know. */
constexpr std::uint32_t maxDistance = 76'800;

/** Returns whether one number comes after another. */
constexpr bool isAfter(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

/** Returns whether two numbers are so far from each other that an end of a flow wouldn't accept one after the other. */
constexpr bool isOutsideWindow(std::uint32_t left, std::uint32_t right)
{
    return (isAfter(left, right) ? left - right : right - left) > maxDistance;
}

} // namespace SequenceNumber

} // namespace Samphirepitch
