#pragma once

#include "core/error.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** The frames on a connection: a 4-byte big-endian length and that many bytes. */
class FrameCodec
{
public:
    static constexpr std::size_t headerSize = 4; /**< bytes */
    static constexpr std::size_t maxBody = 1024 * 1024 + 4096; /**< bytes: a part of 1 MB and its message */

    using Header = std::array<std::uint8_t, headerSize>;

    /**
     * Reads the length of a body, before memory is taken for it.
     * @param limit the longest body that is allowed now, at most maxBody
     * @return the length in bytes, Malformed if it is 0, or TooLarge
     */
    static Result<std::size_t> bodySize(const Header &header, std::size_t limit = maxBody);

    /** Returns the frame of @p body. @return the frame, or TooLarge */
    static Result<std::string> encode(std::string_view body);
};

} // namespace Samphirepitch
