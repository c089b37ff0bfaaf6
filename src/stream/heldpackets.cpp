#include "stream/heldpackets.h"

#include <utility>

namespace Samphirepitch
{

bool HeldPackets::hold(std::span<const std::uint8_t> packet, TimePoint now)
{
    while (!m_packets.empty() && m_packets.front().deadline < now) {
        m_packets.pop_front();
    }
    if (m_packets.size() >= maxPackets) {
        return false;
    }
    m_packets.push_back({ { packet.begin(), packet.end() }, now + maxAge });
    return true;
}

std::vector<std::vector<std::uint8_t>> HeldPackets::take(TimePoint now)
{
    std::vector<std::vector<std::uint8_t>> taken;
    for (BufferedPacket &held : std::exchange(m_packets, {})) {
        if (held.deadline >= now) {
            taken.push_back(std::move(held.bytes));
        }
    }
    return taken;
}

bool HeldPackets::empty() const
{
    return m_packets.empty();
}

} // namespace Samphirepitch
