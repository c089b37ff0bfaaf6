#include "load/requesttracker.h"

#include <algorithm>

namespace Samphirepitch
{

RequestTracker::RequestTracker(const CallerProfile &profile, GroupStatistics &statistics)
    : m_profile(profile)
    , m_statistics(statistics)
{
}

std::string RequestTracker::requestBody(std::uint64_t flow, std::uint32_t id, std::size_t size)
{
    std::string body = std::to_string(flow) + ':' + std::to_string(id) + ':';
    body.resize(std::max(size, body.size()), static_cast<char>('a' + id % 26));
    return body;
}

void RequestTracker::recordSent(const CallerRequest &request)
{
    m_entries.emplace(request.id, Entry { request });
    m_timeoutQueue.push_back(request.id);
    if (m_profile.repeatAfter.count() > 0) {
        m_repeatQueue.push_back({ request.intendedSendTime + m_profile.repeatAfter, request.id });
    }
    ++m_flows[request.flow].pending;
    ++m_statistics.started;
    ++m_pending;
}

void RequestTracker::recordResponse(std::uint64_t flow, Endpoint from, const CallerResponse &response, TimePoint now)
{
    const auto found = m_entries.find(response.id);
    if (found == m_entries.end() || found->second.request.flow != flow) {
        ++m_statistics.crossed;
        return;
    }
    Entry &entry = found->second;
    ++entry.responses;
    if (response.runs > 1 && !m_profile.idempotent) {
        ++m_statistics.extraRuns;
    }
    if (entry.responses > entry.sends) {
        ++m_statistics.duplicates;
    }
    if (entry.ended) {
        recordAfterEnd(entry, response);
        return;
    }
    const auto outcome = classify(entry, from, response);
    if (outcome == &OutcomeCounts::served) {
        endServed(entry, response, now);
    } else if (outcome == &OutcomeCounts::unknown && entry.responses < entry.sends) {
        entry.reportedUnknown = true;
    } else {
        entry.reportedNotRun = outcome == &OutcomeCounts::notRun || outcome == &OutcomeCounts::refused;
        end(entry, outcome);
    }
}

void RequestTracker::recordSeen(std::uint64_t flow, const SeenNotification &notification)
{
    ++m_statistics.seen;
    FlowState &state = m_flows[flow];
    if (!state.server.empty() && state.server != notification.server) {
        ++m_statistics.brokenFlows;
    }
    state.server = notification.server;
}

std::vector<CallerRequest> RequestTracker::takeDueRepeats(TimePoint now)
{
    std::vector<CallerRequest> repeats;
    while (!m_repeatQueue.empty() && m_repeatQueue.front().time <= now) {
        const ScheduledRepeat due = m_repeatQueue.front();
        m_repeatQueue.pop_front();
        const auto found = m_entries.find(due.id);
        if (found == m_entries.end() || found->second.ended || found->second.sends > m_profile.repeatLimit) {
            continue;
        }
        ++found->second.sends;
        ++m_statistics.repeats;
        m_repeatQueue.push_back({ now + m_profile.repeatAfter, due.id });
        repeats.push_back(found->second.request);
    }
    return repeats;
}

void RequestTracker::expire(TimePoint now)
{
    while (!m_timeoutQueue.empty() && m_entries.at(m_timeoutQueue.front()).request.intendedSendTime + m_profile.timeout <= now) {
        Entry &entry = m_entries.at(m_timeoutQueue.front());
        if (!entry.ended) {
            m_statistics.unanswered += entry.reportedUnknown ? 0 : 1;
            end(entry, &OutcomeCounts::unknown);
        }
        m_removalQueue.push_back(m_timeoutQueue.front());
        m_timeoutQueue.pop_front();
    }
    while (!m_removalQueue.empty() && m_entries.at(m_removalQueue.front()).request.intendedSendTime + 2 * m_profile.timeout <= now) {
        m_entries.erase(m_removalQueue.front());
        m_removalQueue.pop_front();
    }
}

void RequestTracker::expireAll()
{
    for (const std::uint32_t id : m_timeoutQueue) {
        Entry &entry = m_entries.at(id);
        if (!entry.ended) {
            m_statistics.unanswered += entry.reportedUnknown ? 0 : 1;
            end(entry, &OutcomeCounts::unknown);
        }
    }
}

void RequestTracker::removeFlow(std::uint64_t flow)
{
    m_flows.erase(flow);
}

bool RequestTracker::hasPendingRequests(std::uint64_t flow) const
{
    const auto found = m_flows.find(flow);
    return found != m_flows.end() && found->second.pending > 0;
}

std::size_t RequestTracker::pending() const
{
    return m_pending;
}

std::uint64_t OutcomeCounts::*RequestTracker::classify(const Entry &entry, Endpoint from, const CallerResponse &response) const
{
    if (from != m_profile.service) {
        return &OutcomeCounts::wrongService;
    }
    switch (response.kind) {
    case ResponseKind::NotRun:
        return &OutcomeCounts::notRun;
    case ResponseKind::Refused:
        return &OutcomeCounts::refused;
    case ResponseKind::Unknown:
        return &OutcomeCounts::unknown;
    case ResponseKind::Failed:
        return &OutcomeCounts::failed;
    case ResponseKind::Result:
        break;
    }
    if (response.service != m_profile.service.toString()) {
        return &OutcomeCounts::wrongService;
    }
    const bool isComplete = response.body == requestBody(entry.request.flow, entry.request.id, m_profile.bodyBytes);
    return isComplete ? &OutcomeCounts::served : &OutcomeCounts::failed;
}

void RequestTracker::end(Entry &entry, std::uint64_t OutcomeCounts::*outcome)
{
    entry.ended = true;
    ++(m_statistics.outcomes.*outcome);
    if (entry.request.peak) {
        ++(m_statistics.peakOutcomes.*outcome);
    }
    if (const auto flow = m_flows.find(entry.request.flow); flow != m_flows.end() && flow->second.pending > 0) {
        --flow->second.pending;
    }
    --m_pending;
}

void RequestTracker::endServed(Entry &entry, const CallerResponse &response, TimePoint now)
{
    LatencyHistogram &latency = entry.request.straggler ? m_statistics.stragglerLatency : m_statistics.shortLatency;
    latency.record(now - entry.request.intendedSendTime);
    ++m_statistics.servedBy[response.server];
    end(entry, &OutcomeCounts::served);
}

void RequestTracker::recordAfterEnd(const Entry &entry, const CallerResponse &response)
{
    if (entry.responses <= entry.sends && !entry.reportedNotRun) {
        ++m_statistics.late;
    }
    // One instance may refuse a send of an idempotent request while another instance runs a repeat of it.
    const bool refusalIsFinal = entry.sends == 1 || !m_profile.idempotent;
    if (entry.reportedNotRun && refusalIsFinal && response.kind == ResponseKind::Result) {
        ++m_statistics.contradictions;
    }
}

} // namespace Samphirepitch
