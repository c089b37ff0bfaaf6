#include "shortage/waitingpackets.h"

#include "routing/flowkey.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

bool WaitingPackets::keep(const StreamPacket &packet, std::span<const std::uint8_t> bytes)
{
    const std::uint64_t key = flowKey(packet.client, packet.service);
    if (const auto flow = m_flows.find(key); flow != m_flows.end()) {
        const auto same = std::find_if(flow->second.begin(), flow->second.end(), [&packet](const Packet &kept) {
            return kept.opens == packet.opens && kept.sequence == packet.sequence && kept.length == packet.length;
        });
        if (same != flow->second.end()) {
            m_bytes = m_bytes - same->bytes.size() + bytes.size();
            same->bytes.assign(bytes.begin(), bytes.end());
            return true;
        }
        if (flow->second.size() >= maxPacketsOfFlow) {
            return false;
        }
    }
    if (m_bytes + bytes.size() > maxBytes) {
        return false;
    }
    m_bytes += bytes.size();
    m_flows[key].push_back({ packet.opens, packet.sequence, packet.length, { bytes.begin(), bytes.end() } });
    return true;
}

std::vector<std::vector<std::uint8_t>> WaitingPackets::take(Endpoint client, Endpoint service)
{
    std::vector<std::vector<std::uint8_t>> taken;
    const auto flow = m_flows.find(flowKey(client, service));
    if (flow == m_flows.end()) {
        return taken;
    }
    for (Packet &packet : flow->second) {
        m_bytes -= packet.bytes.size();
        taken.push_back(std::move(packet.bytes));
    }
    m_flows.erase(flow);
    return taken;
}

bool WaitingPackets::empty() const
{
    return m_flows.empty();
}

} // namespace Samphirepitch
