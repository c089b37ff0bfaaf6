#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace Samphirepitch
{

/**
 * Packets that arrived before the instance knew routes and servers. A client repeats a packet after 200, 600 and 1,400 ms, so
 * that one that is dropped while an instance starts usually costs the whole request.
 */
class HeldPackets
{
public:
    static constexpr std::size_t maxPackets = 512; /**< about 0.6 MB of the largest packets */
    static constexpr std::chrono::milliseconds maxAge { 800 }; /**< below the shortest time limit of a client */

    /** Keeps a copy of a packet. @return false if there is no room */
    bool hold(std::span<const std::uint8_t> packet, TimePoint now);

    /** Returns the packets that are not too old, oldest first, and forgets all. */
    std::vector<std::vector<std::uint8_t>> take(TimePoint now);

    bool empty() const;

private:
    /** One packet and the time until which it is worth sending. */
    struct BufferedPacket {
        std::vector<std::uint8_t> bytes;
        TimePoint deadline {};
    };

    std::deque<BufferedPacket> m_packets;
};

} // namespace Samphirepitch
