#include "stream/flowtracker.h"

#include "routing/flowkey.h"
#include "stream/sequencenumber.h"

#include <utility>

namespace Samphirepitch
{

using SequenceNumber::isAfter;
using SequenceNumber::isOutsideWindow;

FlowTracker::FlowTracker(std::size_t maxFlows)
    : m_maxFlows(maxFlows)
{
}

const StreamFlow *FlowTracker::find(Endpoint client, Endpoint service) const
{
    const auto found = m_byKey.find(flowKey(client, service));
    return found == m_byKey.end() ? nullptr : &*found->second;
}

bool FlowTracker::isOfLaterFlow(const StreamPacket &packet, std::uint32_t token, const StreamFlow &flow)
{
    return flow.open && (flow.token != token || flow.finished) && hasOtherNumbers(packet, flow);
}

bool FlowTracker::hasOtherNumbers(const StreamPacket &packet, const StreamFlow &flow)
{
    return isOutsideWindow(packet.sequence, flow.nextSequence) || isOutsideWindow(packet.acknowledgement, flow.acknowledged);
}

bool FlowTracker::mayOpen(const StreamPacket &packet, const StreamFlow &flow, TimePoint now)
{
    const TimePoint lastSent = flow.open ? flow.openSince : flow.lastSentAt;
    if (now > lastSent + maxPacketDelay) {
        return false;
    }
    if (flow.openingSeen) {
        return packet.sequence == flow.openingSequence;
    }
    // The client chooses another first number for each flow. That of this one is a little below the numbers that were seen.
    return !flow.finished && !isAfter(packet.sequence, flow.nextSequence) && !isOutsideWindow(packet.sequence, flow.nextSequence);
}

bool FlowTracker::beginsRequest(const StreamPacket &packet, std::uint32_t token) const
{
    if (packet.length == 0) {
        return false;
    }
    const StreamFlow *const flow = find(packet.client, packet.service);
    if (flow == nullptr || !flow->open || isOfLaterFlow(packet, token, *flow)) {
        return true;
    }
    const bool isNew = isAfter(packet.sequence + packet.length, flow->nextSequence);
    return isNew && (!flow->awaitingResponse || isAfter(packet.acknowledgement, flow->acknowledged));
}

bool FlowTracker::recordOpening(const StreamPacket &packet, std::uint32_t token, TimePoint now)
{
    const std::uint64_t key = flowKey(packet.client, packet.service);
    const auto found = m_byKey.find(key);
    StreamFlow *const flow = found == m_byKey.end() ? insert(packet, key, now) : &*found->second;
    if (flow == nullptr) {
        return false;
    }
    if (found != m_byKey.end()) {
        touch(found->second, now);
    }
    assignServer(*flow, token);
    flow->lastSentAt = now;
    flow->openingSequence = packet.sequence;
    flow->openingSeen = true;
    m_lastOpenings[hostKey(packet)] = { key, packet.sequence, token, now };
    m_overdueChecks.push({ now + overdueThreshold, key, now, true });
    return true;
}

std::optional<std::uint32_t> FlowTracker::previousUnopenedServer(const StreamPacket &packet, TimePoint now) const
{
    const auto found = m_lastOpenings.find(hostKey(packet));
    if (found == m_lastOpenings.end()) {
        return std::nullopt;
    }
    const bool isSameFlow = found->second.flow == flowKey(packet.client, packet.service) && found->second.sequence == packet.sequence;
    if (isSameFlow) {
        return std::nullopt;
    }
    const auto age = now - found->second.at;
    return age >= minUnopenedTime && age <= maxUnopenedTime ? std::optional(found->second.token) : std::nullopt;
}

std::uint64_t FlowTracker::hostKey(const StreamPacket &packet)
{
    return flowKey(Endpoint(packet.client.address(), 0), packet.service);
}

PacketObservation FlowTracker::recordPacket(const StreamPacket &packet, std::uint32_t token, TimePoint now)
{
    PacketObservation observation;
    const std::uint64_t key = flowKey(packet.client, packet.service);
    auto found = m_byKey.find(key);
    if (found != m_byKey.end() && isOfLaterFlow(packet, token, *found->second)) {
        erase(found);
        found = m_byKey.end();
    }
    if (found == m_byKey.end()) {
        // Another instance opened this flow, so the acknowledgement number shows no response time.
        if (StreamFlow *const flow = insert(packet, key, now)) {
            flow->open = true;
            flow->openSince = now;
            assignServer(*flow, token);
            flow->acknowledged = packet.acknowledgement;
            flow->nextSequence = packet.sequence;
        }
        found = m_byKey.find(key);
        if (found == m_byKey.end()) {
            return observation;
        }
    }
    StreamFlow &flow = *found->second;
    flow.finished = flow.finished || packet.finishes;
    touch(found->second, now);
    assignServer(flow, token);
    observation.opened = !std::exchange(flow.open, true);
    if (observation.opened) {
        flow.openSince = now;
        const auto opening = m_lastOpenings.find(hostKey(packet));
        if (opening != m_lastOpenings.end() && opening->second.flow == key) {
            m_lastOpenings.erase(opening);
        }
        observation.serverResponded = true;
        flow.acknowledged = packet.acknowledgement;
        flow.nextSequence = packet.sequence;
    } else if (isAfter(packet.acknowledgement, flow.acknowledged)) {
        observation.serverResponded = true;
        if (flow.awaitingResponse) {
            observation.responseTime = now - flow.sentAt;
        }
        flow.acknowledged = packet.acknowledgement;
        setAwaitingResponse(flow, false);
    }
    if (packet.length == 0) {
        return observation;
    }
    const std::uint32_t end = packet.sequence + packet.length;
    if (isAfter(end, flow.nextSequence)) {
        flow.nextSequence = end;
        if (!flow.awaitingResponse) {
            setAwaitingResponse(flow, true);
            flow.sentAt = now;
            m_overdueChecks.push({ now + overdueThreshold, key, now, false });
        }
        flow.lastSentAt = now;
    } else if (flow.awaitingResponse && now - flow.lastSentAt >= minRetransmissionInterval) {
        observation.retransmitted = true;
        flow.lastSentAt = now;
    }
    return observation;
}

void FlowTracker::remove(Endpoint client, Endpoint service)
{
    const auto found = m_byKey.find(flowKey(client, service));
    if (found != m_byKey.end()) {
        erase(found);
    }
}

bool FlowTracker::isClosed(const StreamFlow &flow, TimePoint now)
{
    return flow.finished && now >= flow.lastSeen + maxRetransmissionInterval;
}

std::vector<StreamFlow> FlowTracker::endMatching(const std::function<bool(const StreamFlow &)> &matches, TimePoint now)
{
    std::vector<StreamFlow> ended;
    for (const auto &[key, flow] : m_byKey) {
        if (!flow->open || flow->ended || isClosed(*flow, now) || !matches(*flow)) {
            continue;
        }
        ended.push_back(*flow);
        flow->ended = true;
        flow->finished = true;
        setAwaitingResponse(*flow, false);
        m_idle.splice(m_idle.end(), flow->recent ? m_recent : m_idle, flow);
        setRecent(*flow, false);
    }
    return ended;
}

void FlowTracker::checkOverdue(TimePoint now, const std::function<void(std::uint32_t token)> &report)
{
    while (!m_overdueChecks.empty() && m_overdueChecks.front().due <= now) {
        const OverdueCheck check = m_overdueChecks.front();
        m_overdueChecks.pop();
        const auto found = m_byKey.find(check.key);
        if (found == m_byKey.end()) {
            continue;
        }
        const StreamFlow &flow = *found->second;
        const bool isWaiting
            = check.awaitsOpening ? !flow.open && flow.lastSentAt == check.sentAt : flow.awaitingResponse && flow.sentAt == check.sentAt;
        if (isWaiting) {
            report(flow.token);
        }
    }
}

void FlowTracker::expire(TimePoint now, std::chrono::nanoseconds idleTimeout)
{
    std::erase_if(m_lastOpenings, [now](const auto &entry) { return entry.second.at + maxUnopenedTime < now; });
    while (!m_recent.empty() && m_recent.front().lastSeen + loadWindow <= now) {
        setRecent(m_recent.front(), false);
        m_idle.splice(m_idle.end(), m_recent, m_recent.begin());
    }
    while (!m_idle.empty() && m_idle.front().lastSeen + idleTimeout <= now) {
        remove(m_idle.front().client, m_idle.front().service);
    }
}

ServerFlowCounts FlowTracker::flowCountsOf(std::uint32_t token) const
{
    const auto found = m_flowCounts.find(token);
    return found == m_flowCounts.end() ? ServerFlowCounts() : found->second;
}

const std::unordered_map<std::uint32_t, ServerFlowCounts> &FlowTracker::flowCounts() const
{
    return m_flowCounts;
}

std::size_t FlowTracker::size() const
{
    return m_byKey.size();
}

StreamFlow *FlowTracker::insert(const StreamPacket &packet, std::uint64_t key, TimePoint now)
{
    if (m_byKey.size() >= m_maxFlows) {
        return nullptr;
    }
    m_recent.push_back({ .client = packet.client, .service = packet.service, .lastSeen = now, .sentAt = now, .lastSentAt = now });
    m_byKey.emplace(key, std::prev(m_recent.end()));
    return &m_recent.back();
}

void FlowTracker::touch(Flows::iterator flow, TimePoint now)
{
    flow->lastSeen = now;
    Flows &to = flow->finished ? m_idle : m_recent;
    to.splice(to.end(), flow->recent ? m_recent : m_idle, flow);
    setRecent(*flow, !flow->finished);
}

void FlowTracker::assignServer(StreamFlow &flow, std::uint32_t token)
{
    if (flow.token == token) {
        return;
    }
    const bool awaitingResponse = flow.awaitingResponse;
    if (flow.token != 0) {
        setAwaitingResponse(flow, false);
        setRecent(flow, false);
    }
    flow.token = token;
    flow.recent = !flow.finished;
    m_flowCounts[token].recent += flow.recent ? 1 : 0;
    setAwaitingResponse(flow, awaitingResponse);
}

void FlowTracker::setAwaitingResponse(StreamFlow &flow, bool awaitingResponse)
{
    if (flow.awaitingResponse == awaitingResponse) {
        return;
    }
    flow.awaitingResponse = awaitingResponse;
    m_flowCounts[flow.token].awaitingResponse += awaitingResponse ? 1 : -1;
    eraseIfUnused(flow.token);
}

void FlowTracker::setRecent(StreamFlow &flow, bool recent)
{
    if (flow.recent == recent) {
        return;
    }
    flow.recent = recent;
    m_flowCounts[flow.token].recent += recent ? 1 : -1;
    eraseIfUnused(flow.token);
}

void FlowTracker::erase(std::unordered_map<std::uint64_t, Flows::iterator>::iterator entry)
{
    const Flows::iterator flow = entry->second;
    Flows &list = flow->recent ? m_recent : m_idle;
    setAwaitingResponse(*flow, false);
    setRecent(*flow, false);
    list.erase(flow);
    m_byKey.erase(entry);
}

void FlowTracker::eraseIfUnused(std::uint32_t token)
{
    const auto found = m_flowCounts.find(token);
    if (found != m_flowCounts.end() && found->second.recent == 0 && found->second.awaitingResponse == 0) {
        m_flowCounts.erase(found);
    }
}

std::vector<StreamFlow> FlowTracker::removeMatching(const std::function<bool(const StreamFlow &)> &matches, TimePoint now)
{
    std::vector<StreamFlow> taken;
    for (auto entry = m_byKey.begin(); entry != m_byKey.end();) {
        const auto current = entry++;
        if (matches(*current->second)) {
            if (current->second->open && !isClosed(*current->second, now)) {
                taken.push_back(*current->second);
            }
            erase(current);
        }
    }
    return taken;
}

} // namespace Samphirepitch
