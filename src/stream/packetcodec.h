#pragma once

#include "stream/streampacket.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace Samphirepitch
{

/** The bytes that stand before a packet on its way to a backend server; they name the server that it is meant for. */
using ServerPrefix = std::array<std::uint8_t, 8>;

/** Reads and writes the packets of stream flows. */
class PacketCodec
{
public:
    static constexpr std::size_t maxResetSize = 64; /**< bytes; room for the head of any packet format */

    virtual ~PacketCodec() = default;

    /** Reads a packet. @return nothing if it is too short or its length is wrong */
    virtual std::optional<StreamPacket> decode(std::span<const std::uint8_t> bytes) const = 0;

    /** Writes a placement token into a packet that decode() accepted. */
    virtual void writeToken(std::span<std::uint8_t> packet, std::uint32_t token) const = 0;

    /** Returns the prefix that addresses the server with number @p server. */
    virtual ServerPrefix prefix(std::uint64_t server) const = 0;

    /** Writes a reset. @return its size in bytes */
    virtual std::size_t encode(const StreamReset &reset, std::array<std::uint8_t, maxResetSize> &buffer) const = 0;
};

} // namespace Samphirepitch
