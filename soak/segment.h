#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Samphirepitch::Soak
{

/** One packet as clients and servers write it, with a keyed sum that the system cannot renew. */
struct Segment {
    static constexpr std::uint8_t rst = 8;
    static constexpr std::uint8_t fin = 16;
    static constexpr std::uint8_t syn = 32;
    static constexpr std::uint8_t ack = 4;

    Endpoint source;
    Endpoint destination;
    std::uint32_t token = 0;
    std::uint8_t flags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::string data;
    bool checksumValid = false; /**< only of a read segment: its sum is that of a client or server */

    /** Returns the bytes with their sum. */
    std::string encode() const;

    /** Reads a segment. @return nothing if its length is wrong */
    static std::optional<Segment> decode(std::string_view bytes);

    bool has(std::uint8_t flag) const
    {
        return (flags & flag) != 0;
    }
};

} // namespace Samphirepitch::Soak
