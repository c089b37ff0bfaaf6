#pragma once

#include "core/error.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Encodes and decodes frames. A frame is a 4-byte big-endian body length and the body. */
class FrameCodec
{
public:
    static constexpr std::size_t headerSize = 4; /**< bytes */
    static constexpr std::size_t maxBody = 1024 * 1024 + 4096; /**< bytes; room for a part of 1 MB and the fields of its message */

    using Header = std::array<std::uint8_t, headerSize>;

    /**
     * Decodes the length of a body, so that it can be checked before memory is allocated.
     * @param header the first bytes of the frame
     * @param limit maximum length of the body in bytes, at most maxBody
     * @return the length in bytes, Malformed if it is 0, or TooLarge if it is above @p limit
     */
    static Result<std::size_t> bodySize(const Header &header, std::size_t limit = maxBody);

    /** Returns the frame with the body @p body, or TooLarge if the body is above maxBody. */
    static Result<std::string> encode(std::string_view body);
};

} // namespace Samphirepitch
