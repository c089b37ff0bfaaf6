#include "stream/unroutedflows.h"

#include "routing/flowkey.h"
#include "stream/sequencenumber.h"

#include <algorithm>

namespace Samphirepitch
{

UnroutedFlows::UnroutedFlows(std::size_t maxFlows)
    : m_maxFlows(maxFlows)
{
}

void UnroutedFlows::add(const StreamFlow &flow)
{
    if (m_flows.size() < m_maxFlows) {
        m_flows.insert_or_assign(flowKey(flow.client, flow.service), flow);
    }
}

const StreamFlow *UnroutedFlows::record(const StreamPacket &packet, TimePoint now)
{
    const std::uint64_t key = flowKey(packet.client, packet.service);
    auto found = m_flows.find(key);
    if (found != m_flows.end() && FlowTracker::hasOtherNumbers(packet, found->second)) {
        m_flows.erase(found); // the client has opened another flow from the same port, perhaps by a newer configuration
        found = m_flows.end();
    }
    if (found == m_flows.end()) {
        if (m_flows.size() >= m_maxFlows) {
            return nullptr;
        }
        found = m_flows
                    .emplace(key,
                        StreamFlow { .client = packet.client,
                            .service = packet.service,
                            .acknowledged = packet.acknowledgement,
                            .nextSequence = packet.sequence,
                            .open = true,
                            .openSince = now })
                    .first;
    }
    StreamFlow &flow = found->second;
    flow.token = packet.token == 0 ? flow.token : packet.token;
    if (SequenceNumber::isAfter(packet.acknowledgement, flow.acknowledged)) {
        flow.acknowledged = packet.acknowledgement;
    }
    if (SequenceNumber::isAfter(packet.sequence + packet.length, flow.nextSequence)) {
        flow.nextSequence = packet.sequence + packet.length;
    }
    flow.awaitingResponse = flow.awaitingResponse || packet.length > 0;
    flow.finished = flow.finished || packet.finishes;
    flow.lastSeen = now;
    return &flow;
}

void UnroutedFlows::remove(Endpoint client, Endpoint service)
{
    m_flows.erase(flowKey(client, service));
}

void UnroutedFlows::removeRouted(const StreamConfiguration &configuration)
{
    std::erase_if(m_flows, [&configuration](const auto &entry) { return configuration.find(entry.second.service) != nullptr; });
}

std::vector<StreamFlow> UnroutedFlows::endOpenAt(TimePoint time, TimePoint now)
{
    std::vector<StreamFlow> ended;
    for (auto &[key, flow] : m_flows) {
        if (!flow.ended && flow.openSince <= time && !FlowTracker::isClosed(flow, now)) {
            flow.ended = true;
            ended.push_back(flow);
        }
    }
    return ended;
}

void UnroutedFlows::expire(TimePoint now, std::chrono::nanoseconds idleTimeout)
{
    std::erase_if(m_flows, [now, idleTimeout](const auto &entry) { return entry.second.lastSeen + idleTimeout <= now; });
}

std::size_t UnroutedFlows::size() const
{
    return m_flows.size();
}

} // namespace Samphirepitch
