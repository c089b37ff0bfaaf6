#include "stream/serverpace.h"

#include "stream/flowtracker.h"

#include <algorithm>
#include <cmath>

namespace Samphirepitch
{

namespace
{

// Fewer servers with an estimate have no middle that means anything.
constexpr std::size_t leastServers = 3;

double toMilliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double middleOf(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void ServerPace::answered(std::uint32_t token, std::chrono::nanoseconds time, TimePoint now)
{
    const double taken = toMilliseconds(time);
    Estimate &estimate = fresh(token, taken, now);
    estimate.milliseconds *= taken > estimate.milliseconds ? 1 + step : 1 / (1 + step);
    if (time < FlowTracker::overdueTime) { // later ones were counted when they became late
        estimate.lateShare -= estimate.lateShare * shareStep;
    }
    ++estimate.answers;
}

void ServerPace::late(std::uint32_t token, TimePoint now)
{
    const double waited = toMilliseconds(FlowTracker::overdueTime);
    Estimate &estimate = fresh(token, waited, now);
    if (estimate.milliseconds < waited) {
        estimate.milliseconds *= 1 + step;
    }
    estimate.lateShare += (1 - estimate.lateShare) * shareStep;
    ++estimate.answers;
}

void ServerPace::forget(std::uint32_t token)
{
    m_estimates.erase(token);
}

std::optional<double> ServerPace::milliseconds(std::uint32_t token, TimePoint now) const
{
    const Estimate *const estimate = find(token, now);
    return estimate == nullptr ? std::nullopt : std::optional(estimate->milliseconds);
}

const ServerPace::Estimate *ServerPace::find(std::uint32_t token, TimePoint now) const
{
    const auto found = m_estimates.find(token);
    const bool isKnown = found != m_estimates.end() && found->second.answers >= leastAnswers && now < found->second.last + memory;
    return isKnown ? &found->second : nullptr;
}

std::vector<double> ServerPace::compare(const std::vector<std::uint32_t> &tokens, TimePoint now) const
{
    std::vector<double> paces(tokens.size(), 1);
    std::vector<const Estimate *> estimates;
    std::vector<double> times;
    std::vector<double> shares;
    for (const std::uint32_t token : tokens) {
        const Estimate *const estimate = find(token, now);
        estimates.push_back(estimate);
        if (estimate != nullptr) {
            times.push_back(estimate->milliseconds);
            shares.push_back(estimate->lateShare);
        }
    }
    if (times.size() < leastServers) {
        return paces;
    }
    const double middleTime = middleOf(times);
    const double middleShare = middleOf(shares);
    for (std::size_t index = 0; index < tokens.size(); ++index) {
        if (estimates[index] != nullptr) {
            paces[index] += (slowness(*estimates[index], middleTime, middleShare) - 1) * kept(*estimates[index], now);
        }
    }
    return paces;
}

double ServerPace::slowness(const Estimate &estimate, double middleTime, double middleShare)
{
    const double byTime = estimate.milliseconds / middleTime / tolerance;
    const double byShare = 1 + (estimate.lateShare - middleShare - shareTolerance) * shareWeight;
    return std::clamp(std::max(byTime, byShare), 1.0, slowest);
}

double ServerPace::kept(const Estimate &estimate, TimePoint now)
{
    const std::chrono::duration<double> age = now - estimate.last;
    return std::exp2(-age / std::chrono::duration<double>(halfLife));
}

ServerPace::Estimate &ServerPace::fresh(std::uint32_t token, double first, TimePoint now)
{
    const Estimate initial { .milliseconds = first, .last = now };
    Estimate &estimate = m_estimates.try_emplace(token, initial).first->second;
    if (estimate.last + memory <= now) {
        estimate = initial;
    }
    estimate.last = now;
    return estimate;
}

} // namespace Samphirepitch
