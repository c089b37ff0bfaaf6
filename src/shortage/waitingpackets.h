#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "stream/streampacket.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

/** Keeps the packets of flows whose requests wait for room, in the order in which they arrived. */
class WaitingPackets
{
public:
    /** Both ends of a flow send at most this many packets without an acknowledgement. */
    static constexpr std::size_t maxPacketsOfFlow = 16;
    /** Bytes of all kept packets: a tenth of the memory of a small machine at most. */
    static constexpr std::size_t maxBytes = 4 * 1024 * 1024;

    /**
     * Keeps a copy of a packet. A packet that the client has sent again replaces the earlier one.
     * @param packet the decoded fields of the packet
     * @param bytes the packet
     * @return false if there is no space for it
     */
    bool keep(const StreamPacket &packet, std::span<const std::uint8_t> bytes);

    /** Removes and returns the packets of a flow, oldest first. */
    std::vector<std::vector<std::uint8_t>> take(Endpoint client, Endpoint service);

    bool empty() const;

private:
    struct Packet {
        bool opens = false;
        std::uint32_t sequence = 0;
        std::uint16_t length = 0;
        std::vector<std::uint8_t> bytes;
    };

    std::unordered_map<std::uint64_t, std::vector<Packet>> m_flows; // by the key of the flow
    std::size_t m_bytes = 0;
};

} // namespace Samphirepitch
