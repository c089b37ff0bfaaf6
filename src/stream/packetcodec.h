#pragma once

#include "stream/streampacket.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace Samphirepitch
{

/** The bytes that precede a packet in a datagram to a backend server and identify that server. */
using ServerPrefix = std::array<std::uint8_t, 8>;

/** Decodes and encodes the packets of stream flows. Implementations define one packet format. */
class PacketCodec
{
public:
    static constexpr std::size_t maxResetSize = 64; /**< bytes; large enough for the header of any packet format */

    virtual ~PacketCodec() = default;

    /** Decodes a packet. @return the packet, or nothing if @p bytes is shorter than a header or its length does not match the header */
    virtual std::optional<StreamPacket> decode(std::span<const std::uint8_t> bytes) const = 0;

    /**
     * Overwrites the placement token of a packet and leaves its other bytes as they are.
     * @param packet the bytes of a packet that decode() accepted
     * @param token identifies the backend server of the flow
     */
    virtual void writeToken(std::span<std::uint8_t> packet, std::uint32_t token) const = 0;

    /** Returns the prefix for the backend server with number @p server. */
    virtual ServerPrefix prefix(std::uint64_t server) const = 0;

    /** Encodes a reset into @p buffer. @return its size in bytes */
    virtual std::size_t encode(const StreamReset &reset, std::array<std::uint8_t, maxResetSize> &buffer) const = 0;
};

} // namespace Samphirepitch
