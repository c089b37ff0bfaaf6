#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Samphirepitch::Soak
{

/**
 * A packet of the stream protocol as clients and servers encode it. Its checksum is keyed, so that the load balancer cannot
 * compute a valid one for a packet that it has changed.
 */
struct Segment {
    static constexpr std::uint8_t rst = 8;
    static constexpr std::uint8_t fin = 16;
    static constexpr std::uint8_t syn = 32;
    static constexpr std::uint8_t ack = 4;

    Endpoint source;
    Endpoint destination;
    std::uint32_t token = 0; /**< placement token, which the load balancer may overwrite; the checksum does not cover it */
    std::uint8_t flags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::string data;
    bool checksumValid = false; /**< set by decode(): the checksum is that of a client or server */

    /** Returns the encoded packet with its checksum. */
    std::string encode() const;

    /** Decodes a packet. @return the segment, or nothing if the length is wrong */
    static std::optional<Segment> decode(std::string_view bytes);

    /** Returns whether any bit of @p flag is set. */
    bool has(std::uint8_t flag) const
    {
        return (flags & flag) != 0;
    }
};

} // namespace Samphirepitch::Soak
