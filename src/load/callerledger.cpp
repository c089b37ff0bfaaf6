#include "load/callerledger.h"

#include <algorithm>

namespace Samphirepitch
{

CallerLedger::CallerLedger(const CallerProfile &profile, GroupFigures &figures)
    : m_profile(profile)
    , m_figures(figures)
{
}

std::string CallerLedger::requestBody(std::uint64_t flow, std::uint32_t id, std::size_t size)
{
    std::string body = std::to_string(flow) + ':' + std::to_string(id) + ':';
    body.resize(std::max(size, body.size()), static_cast<char>('a' + id % 26));
    return body;
}

void CallerLedger::sent(const CallerRequest &request)
{
    m_entries.emplace(request.id, Entry { request });
    m_byTimeout.push_back(request.id);
    if (m_profile.repeatAfter.count() > 0) {
        m_byRepeat.push_back({ request.intended + m_profile.repeatAfter, request.id });
    }
    ++m_flows[request.flow].pending;
    ++m_figures.started;
    ++m_pending;
}

void CallerLedger::answered(std::uint64_t flow, Endpoint from, const CallerAnswer &answer, TimePoint now)
{
    const auto found = m_entries.find(answer.id);
    if (found == m_entries.end() || found->second.request.flow != flow) {
        ++m_figures.crossed;
        return;
    }
    Entry &entry = found->second;
    ++entry.answers;
    if (answer.runs > 1 && !m_profile.idempotent) {
        ++m_figures.extraRuns;
    }
    if (entry.answers > entry.sends) {
        ++m_figures.duplicates;
    }
    if (entry.ended) {
        noteAfterEnd(entry, answer);
        return;
    }
    const auto outcome = judge(entry, from, answer);
    if (outcome == &OutcomeCounts::served) {
        endServed(entry, answer, now);
    } else if (outcome == &OutcomeCounts::unknown && entry.answers < entry.sends) {
        entry.unknown = true;
    } else {
        entry.notRun = outcome == &OutcomeCounts::notRun || outcome == &OutcomeCounts::refused;
        end(entry, outcome);
    }
}

void CallerLedger::seen(std::uint64_t flow, const SeenNotice &notice)
{
    ++m_figures.seen;
    FlowState &state = m_flows[flow];
    if (!state.server.empty() && state.server != notice.server) {
        ++m_figures.brokenFlows;
    }
    state.server = notice.server;
}

std::vector<CallerRequest> CallerLedger::takeRepeats(TimePoint now)
{
    std::vector<CallerRequest> repeats;
    while (!m_byRepeat.empty() && m_byRepeat.front().time <= now) {
        const RepeatAt due = m_byRepeat.front();
        m_byRepeat.pop_front();
        const auto found = m_entries.find(due.id);
        if (found == m_entries.end() || found->second.ended || found->second.sends > m_profile.repeatLimit) {
            continue;
        }
        ++found->second.sends;
        ++m_figures.repeats;
        m_byRepeat.push_back({ now + m_profile.repeatAfter, due.id });
        repeats.push_back(found->second.request);
    }
    return repeats;
}

void CallerLedger::expire(TimePoint now)
{
    while (!m_byTimeout.empty() && m_entries.at(m_byTimeout.front()).request.intended + m_profile.timeout <= now) {
        Entry &entry = m_entries.at(m_byTimeout.front());
        if (!entry.ended) {
            m_figures.unanswered += entry.unknown ? 0 : 1;
            end(entry, &OutcomeCounts::unknown);
        }
        m_byForgetting.push_back(m_byTimeout.front());
        m_byTimeout.pop_front();
    }
    while (!m_byForgetting.empty() && m_entries.at(m_byForgetting.front()).request.intended + 2 * m_profile.timeout <= now) {
        m_entries.erase(m_byForgetting.front());
        m_byForgetting.pop_front();
    }
}

void CallerLedger::expireAll()
{
    for (const std::uint32_t id : m_byTimeout) {
        Entry &entry = m_entries.at(id);
        if (!entry.ended) {
            m_figures.unanswered += entry.unknown ? 0 : 1;
            end(entry, &OutcomeCounts::unknown);
        }
    }
}

void CallerLedger::forgetFlow(std::uint64_t flow)
{
    m_flows.erase(flow);
}

bool CallerLedger::isBusy(std::uint64_t flow) const
{
    const auto found = m_flows.find(flow);
    return found != m_flows.end() && found->second.pending > 0;
}

std::size_t CallerLedger::pending() const
{
    return m_pending;
}

std::uint64_t OutcomeCounts::*CallerLedger::judge(const Entry &entry, Endpoint from, const CallerAnswer &answer) const
{
    if (from != m_profile.service) {
        return &OutcomeCounts::wrongService;
    }
    switch (answer.kind) {
    case AnswerKind::NotRun:
        return &OutcomeCounts::notRun;
    case AnswerKind::Refused:
        return &OutcomeCounts::refused;
    case AnswerKind::Unknown:
        return &OutcomeCounts::unknown;
    case AnswerKind::Failed:
        return &OutcomeCounts::failed;
    case AnswerKind::Result:
        break;
    }
    if (answer.service != m_profile.service.toString()) {
        return &OutcomeCounts::wrongService;
    }
    const bool isWhole = answer.body == requestBody(entry.request.flow, entry.request.id, m_profile.bodyBytes);
    return isWhole ? &OutcomeCounts::served : &OutcomeCounts::failed;
}

void CallerLedger::end(Entry &entry, std::uint64_t OutcomeCounts::*outcome)
{
    entry.ended = true;
    ++(m_figures.outcomes.*outcome);
    if (entry.request.peak) {
        ++(m_figures.peakOutcomes.*outcome);
    }
    if (const auto flow = m_flows.find(entry.request.flow); flow != m_flows.end() && flow->second.pending > 0) {
        --flow->second.pending;
    }
    --m_pending;
}

void CallerLedger::endServed(Entry &entry, const CallerAnswer &answer, TimePoint now)
{
    LatencyHistogram &latency = entry.request.straggler ? m_figures.stragglerLatency : m_figures.shortLatency;
    latency.record(now - entry.request.intended);
    ++m_figures.servedBy[answer.server];
    end(entry, &OutcomeCounts::served);
}

void CallerLedger::noteAfterEnd(const Entry &entry, const CallerAnswer &answer)
{
    if (entry.answers <= entry.sends && !entry.notRun) {
        ++m_figures.late;
    }
    // Copies of an idempotent request may be refused by one instance and run by another.
    const bool isBinding = entry.sends == 1 || !m_profile.idempotent;
    if (entry.notRun && isBinding && answer.kind == AnswerKind::Result) {
        ++m_figures.contradictions;
    }
}

} // namespace Samphirepitch
