#include "stream/serverpace.h"

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

} // namespace

void ServerPace::answered(std::uint32_t token, std::chrono::nanoseconds time, TimePoint now)
{
    const double taken = toMilliseconds(time);
    Estimate &estimate = fresh(token, taken, now);
    estimate.milliseconds *= taken > estimate.milliseconds ? 1 + step : 1 / (1 + step);
    ++estimate.answers;
}

void ServerPace::late(std::uint32_t token, std::chrono::nanoseconds time, TimePoint now)
{
    const double waited = toMilliseconds(time);
    Estimate &estimate = fresh(token, waited, now);
    if (estimate.milliseconds < waited) {
        estimate.milliseconds *= 1 + step;
        ++estimate.answers;
    }
}

void ServerPace::forget(std::uint32_t token)
{
    m_estimates.erase(token);
}

std::optional<double> ServerPace::milliseconds(std::uint32_t token, TimePoint now) const
{
    const auto found = m_estimates.find(token);
    if (found == m_estimates.end() || found->second.answers < leastAnswers || found->second.last + memory <= now) {
        return std::nullopt;
    }
    return found->second.milliseconds;
}

std::vector<double> ServerPace::compare(const std::vector<std::uint32_t> &tokens, TimePoint now) const
{
    std::vector<double> paces(tokens.size(), 1);
    std::vector<double> known;
    for (std::size_t index = 0; index < tokens.size(); ++index) {
        if (const auto time = milliseconds(tokens[index], now)) {
            paces[index] = *time;
            known.push_back(*time);
        } else {
            paces[index] = 0;
        }
    }
    if (known.size() < leastServers) {
        return std::vector<double>(tokens.size(), 1);
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    for (std::size_t index = 0; index < tokens.size(); ++index) {
        const double excess = std::clamp(paces[index] / *middle / tolerance, 1.0, slowest) - 1;
        paces[index] = excess > 0 ? 1 + excess * kept(tokens[index], now) : 1;
    }
    return paces;
}

double ServerPace::kept(std::uint32_t token, TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_estimates.at(token).last;
    return std::exp2(-age / std::chrono::duration<double>(halfLife));
}

ServerPace::Estimate &ServerPace::fresh(std::uint32_t token, double first, TimePoint now)
{
    Estimate &estimate = m_estimates.try_emplace(token, Estimate { first, 0, now }).first->second;
    if (estimate.last + memory <= now) {
        estimate = { first, 0, now };
    }
    estimate.last = now;
    return estimate;
}

} // namespace Samphirepitch
