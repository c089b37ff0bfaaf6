#include "stream/flowplacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace Samphirepitch
{

FlowPlacement::FlowPlacement(Parts parts, std::string failureDomain)
    : m_parts(parts)
    , m_failureDomain(std::move(failureDomain))
{
}

const std::string &FlowPlacement::targetService(const StreamRoute &route)
{
    const auto total = std::accumulate(route.targets.begin(), route.targets.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const RouteTarget &target) { return sum + target.weight; });
    std::uint64_t drawn = route.targets.size() > 1 ? m_parts.random.below(std::max<std::uint64_t>(total, 1)) : 0;
    for (const RouteTarget &target : route.targets) {
        if (drawn < target.weight) {
            return target.service;
        }
        drawn -= target.weight;
    }
    return route.targets.back().service;
}

std::optional<FlowPlacement::Choice> FlowPlacement::choose(const std::string &service, std::uint32_t excludedToken, TimePoint gapEnd)
{
    std::vector<Choice> choices;
    for (const DirectoryRecord *const record : m_parts.directory.listed(service)) {
        addCandidate(*record, record->token == excludedToken, choices);
    }
    // If more servers are missing than listed, their entries lapsed while the store was away, and most of them live.
    const std::vector<const DirectoryRecord *> missing = lapsed(service, gapEnd);
    const bool isMassLapse = missing.size() > choices.size();
    for (const DirectoryRecord *const record : missing) {
        addCandidate(*record, !isMassLapse || record->token == excludedToken, choices);
    }
    std::vector<std::uint32_t> tokens;
    for (const Choice &choice : choices) {
        tokens.push_back(choice.record->token);
    }
    const std::vector<double> paces = m_parts.pace.compare(tokens, m_parts.clock.now());
    std::vector<StreamCandidate> candidates;
    for (std::size_t index = 0; index < choices.size(); ++index) {
        choices[index].candidate.pace = paces[index];
        recordPace(choices[index]);
        candidates.push_back(choices[index].candidate);
    }
    const auto chosen = m_parts.selector.choose(candidates, m_parts.random);
    return chosen ? std::optional(choices[*chosen]) : std::nullopt;
}

void FlowPlacement::addCandidate(const DirectoryRecord &record, bool isDoubtful, std::vector<Choice> &choices) const
{
    const TimePoint now = m_parts.clock.now();
    const Standing standing = m_parts.evidence.standing(record.token, now);
    if (record.server.phase != ServerPhase::Ready || record.shadowed || standing == Standing::Gone) {
        return;
    }
    const ServerFlows load = m_parts.flows.flowsOf(record.token);
    choices.push_back({ &record,
        { .flows = load.recent,
            .awaiting = load.awaiting,
            .slots = record.server.slots,
            .cold = now < record.server.coldUntil,
            .local = record.server.failureDomain == m_failureDomain,
            .doubtful = isDoubtful || standing != Standing::Trusted } });
}

void FlowPlacement::recordPace(const Choice &choice)
{
    const double pace = choice.candidate.pace;
    const DirectoryRecord &record = *choice.record;
    const bool turnsSlow = pace >= slowPace && m_slow.insert(record.token).second;
    const bool recovers = pace < alikePace && m_slow.erase(record.token) > 0;
    if (!turnsSlow && !recovers) {
        return;
    }
    const auto answerTime = m_parts.pace.milliseconds(record.token, m_parts.clock.now());
    m_parts.events.record(turnsSlow ? EventSeverity::Warning : EventSeverity::Info, "server_pace",
        { { "server", record.server.id }, { "pace", turnsSlow ? "slow" : "alike" },
            { "pace_percent", std::to_string(std::lround(pace * 100)) },
            { "answer_ms", answerTime ? std::to_string(std::lround(*answerTime)) : "unknown" }, { "domain", record.server.failureDomain },
            { "flows", std::to_string(choice.candidate.flows) }, { "awaiting", std::to_string(choice.candidate.awaiting) } });
}

std::vector<const DirectoryRecord *> FlowPlacement::lapsed(const std::string &service, TimePoint gapEnd) const
{
    std::vector<const DirectoryRecord *> missing;
    for (const DirectoryRecord *const record : m_parts.directory.unlisted(service)) {
        if (record->server.phase == ServerPhase::Ready
            && m_parts.clock.now() < std::max(record->unlistedAt, gapEnd) + ServerDirectory::returnTime) {
            missing.push_back(record);
        }
    }
    return missing;
}

void FlowPlacement::forget(std::uint32_t token)
{
    m_slow.erase(token);
}

std::size_t FlowPlacement::slowCount() const
{
    return m_slow.size();
}

} // namespace Samphirepitch
