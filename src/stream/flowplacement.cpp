#include "stream/flowplacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace Samphirepitch
{

FlowPlacement::FlowPlacement(Dependencies dependencies, std::string failureDomain)
    : m_dependencies(dependencies)
    , m_failureDomain(std::move(failureDomain))
{
}

const std::string &FlowPlacement::targetService(const StreamRoute &route)
{
    const auto total = std::accumulate(route.targets.begin(), route.targets.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const RouteTarget &target) { return sum + target.weight; });
    std::uint64_t drawn = route.targets.size() > 1 ? m_dependencies.random.below(std::max<std::uint64_t>(total, 1)) : 0;
    for (const RouteTarget &target : route.targets) {
        if (drawn < target.weight) {
            return target.service;
        }
        drawn -= target.weight;
    }
    return route.targets.back().service;
}

std::optional<FlowPlacement::Choice> FlowPlacement::choose(const NewFlow &flow, std::uint32_t excludedToken, TimePoint confirmationGapEnd)
{
    const bool isLarge = m_dependencies.directory.listed(flow.service).size() > localSampleSize + globalSampleSize;
    std::vector<Choice> choices = candidates(flow, excludedToken, confirmationGapEnd, isLarge);
    const auto isTrusted = [](const Choice &choice) { return !choice.candidate.lastResort; };
    if (isLarge && std::none_of(choices.begin(), choices.end(), isTrusted)) {
        choices = candidates(flow, excludedToken, confirmationGapEnd, false);
    }
    return chooseFrom(std::move(choices));
}

std::vector<FlowPlacement::Choice> FlowPlacement::candidates(
    const NewFlow &flow, std::uint32_t excludedToken, TimePoint confirmationGapEnd, bool sampled)
{
    const std::string &service = flow.service;
    std::vector<Choice> choices;
    const std::vector<const DirectoryRecord *> &listed = m_dependencies.directory.listed(service);
    const auto add = [&](const std::vector<const DirectoryRecord *> &servers, bool areLastResort) {
        for (const DirectoryRecord *const record : servers) {
            addCandidate(*record, flow, areLastResort || record->token == excludedToken, choices);
        }
    };
    if (sampled) {
        add(sample(m_dependencies.directory.listedIn(m_failureDomain, service), localSampleSize), false);
        add(sample(listed, globalSampleSize), false);
    } else {
        add(listed, false);
    }
    // If more servers are missing than listed, their entries expired during an outage of the store, and most of the servers still run.
    const std::vector<const DirectoryRecord *> missing = recentlyUnlisted(service, confirmationGapEnd);
    const bool isMassExpiry = missing.size() > listed.size();
    if (sampled) {
        add(sample(missing, globalSampleSize), !isMassExpiry);
    } else {
        add(missing, !isMassExpiry);
    }
    return choices;
}

std::vector<const DirectoryRecord *> FlowPlacement::sample(const std::vector<const DirectoryRecord *> &servers, std::size_t count)
{
    if (servers.size() <= count) {
        return servers;
    }
    // Takes every n-th server, starting at a random one.
    const std::size_t first = m_dependencies.random.below(servers.size());
    const std::size_t step = servers.size() / count;
    std::vector<const DirectoryRecord *> selected;
    for (std::size_t index = 0; index < count; ++index) {
        selected.push_back(servers[(first + index * step) % servers.size()]);
    }
    return selected;
}

std::optional<FlowPlacement::Choice> FlowPlacement::chooseFrom(std::vector<Choice> choices)
{
    std::vector<std::uint32_t> tokens;
    for (const Choice &choice : choices) {
        tokens.push_back(choice.record->token);
    }
    const TimePoint now = m_dependencies.clock.now();
    const std::vector<double> slowdowns = m_dependencies.latencyTracker.compareServers(tokens, now);
    const std::vector<double> pooled = m_slowdownView == nullptr ? slowdowns : m_slowdownView->compareServers(tokens, now);
    std::vector<StreamCandidate> compared;
    for (std::size_t index = 0; index < choices.size(); ++index) {
        choices[index].candidate.slowdown = std::max(slowdowns[index], pooled[index]);
        logSlowdownChange(choices[index]);
        compared.push_back(choices[index].candidate);
    }
    const auto chosen = m_dependencies.selector.choose(compared, m_dependencies.random);
    return chosen ? std::optional(choices[*chosen]) : std::nullopt;
}

bool FlowPlacement::couldServe(const DirectoryRecord &record, TimePoint now) const
{
    return record.takesFlows && !record.tokenTaken && m_dependencies.failureDetector.status(record.token, now) != ServerStatus::Gone;
}

void FlowPlacement::addCandidate(const DirectoryRecord &record, const NewFlow &flow, bool isLastResort, std::vector<Choice> &choices) const
{
    const TimePoint now = m_dependencies.clock.now();
    if (!couldServe(record, now) || forbiddingPolicy(record, flow) != nullptr) {
        return;
    }
    const ServerStatus status = m_dependencies.failureDetector.status(record.token, now);
    const ServerFlowCounts counts = m_dependencies.flows.flowCountsOf(record.token);
    choices.push_back({ &record,
        { .flows = counts.recent,
            .awaitingResponse = counts.awaitingResponse,
            .slots = record.server.slots,
            .cold = now < record.server.coldUntil,
            .local = record.server.failureDomain == m_failureDomain,
            .lastResort = isLastResort || status != ServerStatus::Trusted } });
}

const PlacementPolicy *FlowPlacement::forbiddingPolicy(const DirectoryRecord &record, const NewFlow &flow) const
{
    const TimePoint now = m_dependencies.clock.now();
    const auto forbids = [&](const PlacementPolicy *policy) { return policy->judge(record, flow, now) == PlacementVerdict::Forbidden; };
    const auto found = std::find_if(m_dependencies.policies.begin(), m_dependencies.policies.end(), forbids);
    return found == m_dependencies.policies.end() ? nullptr : *found;
}

bool FlowPlacement::isExcluded(const DirectoryRecord &record, const NewFlow &flow) const
{
    const TimePoint now = m_dependencies.clock.now();
    return std::any_of(m_dependencies.policies.begin(), m_dependencies.policies.end(), [&](const PlacementPolicy *policy) {
        return policy->limitsCapacity() && policy->judge(record, flow, now) == PlacementVerdict::Forbidden;
    });
}

bool FlowPlacement::isRestrictedBy(const PlacementPolicy &policy, const NewFlow &flow) const
{
    const std::vector<const DirectoryRecord *> &servers = m_dependencies.directory.listed(flow.service);
    return std::any_of(servers.begin(), servers.end(), [&](const DirectoryRecord *record) {
        return couldServe(*record, m_dependencies.clock.now()) && forbiddingPolicy(*record, flow) == &policy;
    });
}

bool FlowPlacement::isForbiddenEverywhere(const PlacementPolicy &policy, const NewFlow &flow, TimePoint confirmationGapEnd) const
{
    const TimePoint now = m_dependencies.clock.now();
    const auto could = [&](const DirectoryRecord *record) { return couldServe(*record, now); };
    const auto mayTake
        = [&](const DirectoryRecord *record) { return could(record) && policy.judge(*record, flow, now) == PlacementVerdict::Allowed; };
    const std::vector<const DirectoryRecord *> &listed = m_dependencies.directory.listed(flow.service);
    if (std::any_of(listed.begin(), listed.end(), mayTake)) {
        return false;
    }
    const std::vector<const DirectoryRecord *> missing = recentlyUnlisted(flow.service, confirmationGapEnd);
    return std::none_of(missing.begin(), missing.end(), mayTake)
        && (std::any_of(listed.begin(), listed.end(), could) || std::any_of(missing.begin(), missing.end(), could));
}

void FlowPlacement::recordPlacement(const DirectoryRecord &record, const NewFlow &flow)
{
    for (PlacementPolicy *const policy : m_dependencies.policies) {
        policy->recordPlacement(record, flow, m_dependencies.clock.now());
    }
}

void FlowPlacement::useSlowdownView(const SlowdownView &slowdownView)
{
    m_slowdownView = &slowdownView;
}

void FlowPlacement::logSlowdownChange(const Choice &choice)
{
    const double slowdown = choice.candidate.slowdown;
    const DirectoryRecord &record = *choice.record;
    const bool becomesSlow = slowdown >= slowThreshold && m_slowServers.insert(record.token).second;
    const bool hasRecovered = slowdown < recoveredThreshold && m_slowServers.erase(record.token) > 0;
    if (!becomesSlow && !hasRecovered) {
        return;
    }
    const auto responseTime = m_dependencies.latencyTracker.medianMilliseconds(record.token, m_dependencies.clock.now());
    m_dependencies.events.record(becomesSlow ? EventSeverity::Warning : EventSeverity::Info, "server_pace",
        { { "server", record.server.id }, { "pace", becomesSlow ? "slow" : "alike" },
            { "pace_percent", std::to_string(std::lround(slowdown * 100)) },
            { "answer_ms", responseTime ? std::to_string(std::lround(*responseTime)) : "unknown" },
            { "domain", record.server.failureDomain }, { "flows", std::to_string(choice.candidate.flows) },
            { "awaiting", std::to_string(choice.candidate.awaitingResponse) } });
}

std::vector<const DirectoryRecord *> FlowPlacement::recentlyUnlisted(const std::string &service, TimePoint confirmationGapEnd) const
{
    std::vector<const DirectoryRecord *> missing;
    for (const DirectoryRecord *const record : m_dependencies.directory.unlisted(service)) {
        if (record->takesFlows
            && m_dependencies.clock.now() < std::max(record->unlistedAt, confirmationGapEnd) + ServerDirectory::relistGracePeriod) {
            missing.push_back(record);
        }
    }
    return missing;
}

void FlowPlacement::forget(std::uint32_t token)
{
    m_slowServers.erase(token);
}

ServerUse FlowPlacement::serverUse(std::uint32_t token) const
{
    if (m_dependencies.failureDetector.status(token, m_dependencies.clock.now()) != ServerStatus::Trusted) {
        return ServerUse::Unusable;
    }
    return isSlow(token) ? ServerUse::Slow : ServerUse::Usable;
}

std::uint32_t FlowPlacement::usableSlots(const std::string &service, TimePoint confirmationGapEnd) const
{
    const StreamRoute anyRoute;
    const NewFlow flow { &anyRoute, service };
    std::uint32_t slots = 0;
    const auto count = [&](const std::vector<const DirectoryRecord *> &servers) {
        for (const DirectoryRecord *const record : servers) {
            const bool mayServe = serverUse(record->token) == ServerUse::Usable && record->takesFlows && !record->tokenTaken;
            slots += mayServe && !isExcluded(*record, flow) ? record->server.slots : 0;
        }
    };
    count(m_dependencies.directory.listed(service));
    count(recentlyUnlisted(service, confirmationGapEnd));
    return slots;
}

bool FlowPlacement::isSlow(std::uint32_t token) const
{
    return m_slowServers.contains(token);
}

std::size_t FlowPlacement::slowCount() const
{
    return m_slowServers.size();
}

} // namespace Samphirepitch
