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
    const bool isLarge = m_parts.directory.listed(service).size() > localSample + globalSample;
    std::vector<Choice> choices = candidates(service, excludedToken, gapEnd, isLarge);
    const auto isTrusted = [](const Choice &choice) { return !choice.candidate.doubtful; };
    if (isLarge && std::none_of(choices.begin(), choices.end(), isTrusted)) {
        choices = candidates(service, excludedToken, gapEnd, false);
    }
    return chooseFrom(std::move(choices));
}

std::vector<FlowPlacement::Choice> FlowPlacement::candidates(
    const std::string &service, std::uint32_t excludedToken, TimePoint gapEnd, bool sampled)
{
    std::vector<Choice> choices;
    const std::vector<const DirectoryRecord *> &listed = m_parts.directory.listed(service);
    const auto add = [&](const std::vector<const DirectoryRecord *> &servers, bool areDoubtful) {
        for (const DirectoryRecord *const record : servers) {
            addCandidate(*record, areDoubtful || record->token == excludedToken, choices);
        }
    };
    if (sampled) {
        add(sample(m_parts.directory.listedIn(m_failureDomain, service), localSample), false);
        add(sample(listed, globalSample), false);
    } else {
        add(listed, false);
    }
    // If more servers are missing than listed, their entries lapsed while the store was away, and most of them live.
    const std::vector<const DirectoryRecord *> missing = lapsed(service, gapEnd);
    const bool isMassLapse = missing.size() > listed.size();
    if (sampled) {
        add(sample(missing, globalSample), !isMassLapse);
    } else {
        add(missing, !isMassLapse);
    }
    return choices;
}

std::vector<const DirectoryRecord *> FlowPlacement::sample(const std::vector<const DirectoryRecord *> &servers, std::size_t count)
{
    if (servers.size() <= count) {
        return servers;
    }
    // Every n-th server from a random one on.
    const std::size_t first = m_parts.random.below(servers.size());
    const std::size_t step = servers.size() / count;
    std::vector<const DirectoryRecord *> taken;
    for (std::size_t index = 0; index < count; ++index) {
        taken.push_back(servers[(first + index * step) % servers.size()]);
    }
    return taken;
}

std::optional<FlowPlacement::Choice> FlowPlacement::chooseFrom(std::vector<Choice> choices)
{
    std::vector<std::uint32_t> tokens;
    for (const Choice &choice : choices) {
        tokens.push_back(choice.record->token);
    }
    const std::vector<double> paces = m_parts.pace.compare(tokens, m_parts.clock.now());
    std::vector<StreamCandidate> compared;
    for (std::size_t index = 0; index < choices.size(); ++index) {
        choices[index].candidate.pace = paces[index];
        recordPace(choices[index]);
        compared.push_back(choices[index].candidate);
    }
    const auto chosen = m_parts.selector.choose(compared, m_parts.random);
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
