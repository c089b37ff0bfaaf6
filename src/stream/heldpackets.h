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
 * Buffers the packets that arrive before the instance knows routes and servers. Clients retransmit a packet after 200, 600 and
 * 1,400 ms, so a packet that is dropped during the start of an instance usually makes the whole request fail.
 */
class HeldPackets
{
public:
    static constexpr std::size_t maxPackets = 512; /**< about 0.6 MB of packets of the largest size */
    static constexpr std::chrono::milliseconds maxAge { 800 }; /**< below the shortest timeout of a client */

    /** Stores a copy of a packet. @return false if the buffer is full */
    bool hold(std::span<const std::uint8_t> packet, TimePoint now);

    /** Empties the buffer. @return the packets that have not expired, oldest first */
    std::vector<std::vector<std::uint8_t>> take(TimePoint now);

    bool empty() const;

private:
    /** A packet and the time after which it is not worth sending any more. */
    struct BufferedPacket {
        std::vector<std::uint8_t> bytes;
        TimePoint deadline {};
    };

    std::deque<BufferedPacket> m_packets;
};

} // namespace Samphirepitch
