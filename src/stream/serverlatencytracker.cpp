#include "stream/serverlatencytracker.h"

#include "stream/flowtracker.h"

#include <algorithm>
#include <cmath>

namespace Samphirepitch
{

namespace
{

// The median of fewer estimates is not meaningful.
constexpr std::size_t minServers = 3;

double toMilliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double medianOf(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void ServerLatencyTracker::recordResponse(std::uint32_t token, std::chrono::nanoseconds time, TimePoint now)
{
    const double responseTime = toMilliseconds(time);
    Estimate &estimate = currentEstimate(token, responseTime, now);
    estimate.medianMilliseconds *= responseTime > estimate.medianMilliseconds ? 1 + estimateStep : 1 / (1 + estimateStep);
    if (time < FlowTracker::overdueThreshold) { // slower ones were counted by recordOverdueResponse()
        estimate.lateShare -= estimate.lateShare * lateShareStep;
    }
    ++estimate.responses;
}

void ServerLatencyTracker::recordOverdueResponse(std::uint32_t token, TimePoint now)
{
    const double waited = toMilliseconds(FlowTracker::overdueThreshold);
    Estimate &estimate = currentEstimate(token, waited, now);
    if (estimate.medianMilliseconds < waited) {
        estimate.medianMilliseconds *= 1 + estimateStep;
    }
    estimate.lateShare += (1 - estimate.lateShare) * lateShareStep;
    ++estimate.responses;
}

void ServerLatencyTracker::forget(std::uint32_t token)
{
    m_estimates.erase(token);
}

std::optional<double> ServerLatencyTracker::medianMilliseconds(std::uint32_t token, TimePoint now) const
{
    const Estimate *const estimate = find(token, now);
    return estimate == nullptr ? std::nullopt : std::optional(estimate->medianMilliseconds);
}

const ServerLatencyTracker::Estimate *ServerLatencyTracker::find(std::uint32_t token, TimePoint now) const
{
    const auto found = m_estimates.find(token);
    const bool isKnown
        = found != m_estimates.end() && found->second.responses >= minResponses && now < found->second.last + estimateLifetime;
    return isKnown ? &found->second : nullptr;
}

std::vector<double> ServerLatencyTracker::compareServers(const std::vector<std::uint32_t> &tokens, TimePoint now) const
{
    std::vector<double> slowdowns(tokens.size(), 1);
    std::vector<const Estimate *> estimates;
    std::vector<double> times;
    std::vector<double> shares;
    for (const std::uint32_t token : tokens) {
        const Estimate *const estimate = find(token, now);
        estimates.push_back(estimate);
        if (estimate != nullptr) {
            times.push_back(estimate->medianMilliseconds);
            shares.push_back(estimate->lateShare);
        }
    }
    if (times.size() < minServers) {
        return slowdowns;
    }
    const double medianTime = medianOf(times);
    const double medianLateShare = medianOf(shares);
    for (std::size_t index = 0; index < tokens.size(); ++index) {
        if (estimates[index] != nullptr) {
            slowdowns[index] += (slowdownOf(*estimates[index], medianTime, medianLateShare) - 1) * decayFactor(*estimates[index], now);
        }
    }
    return slowdowns;
}

double ServerLatencyTracker::slowdownOf(const Estimate &estimate, double medianTime, double medianLateShare)
{
    const double byTime = estimate.medianMilliseconds / medianTime / timeTolerance;
    const double byShare = 1 + (estimate.lateShare - medianLateShare - lateShareTolerance) * lateShareWeight;
    return std::clamp(std::max(byTime, byShare), 1.0, maxSlowdown);
}

double ServerLatencyTracker::decayFactor(const Estimate &estimate, TimePoint now)
{
    const std::chrono::duration<double> age = now - estimate.last;
    return std::exp2(-age / std::chrono::duration<double>(halfLife));
}

ServerLatencyTracker::Estimate &ServerLatencyTracker::currentEstimate(std::uint32_t token, double first, TimePoint now)
{
    const Estimate initial { .medianMilliseconds = first, .last = now };
    Estimate &estimate = m_estimates.try_emplace(token, initial).first->second;
    if (estimate.last + estimateLifetime <= now) {
        estimate = initial;
    }
    estimate.last = now;
    return estimate;
}

} // namespace Samphirepitch
