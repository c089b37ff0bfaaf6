#include "loadreport/loadreports.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Samphirepitch
{

bool LoadReports::isFresh(const PeerLoadReport &report, TimePoint now)
{
    return now < report.madeAt + lifetime;
}

void LoadReports::record(const std::string &instance, PeerLoadReport report, TimePoint now)
{
    if (report.isEmpty()) {
        return;
    }
    PeerLoadReport &known = m_reports[instance];
    if (known.isEmpty() || known.madeAt <= report.madeAt) {
        known = std::move(report);
    }
    std::erase_if(m_reports, [now](const auto &entry) { return !isFresh(entry.second, now); });
    pool(now);
}

void LoadReports::recordOwn(std::vector<ServerLoad> servers, TimePoint now)
{
    m_own.servers = std::move(servers);
    m_own.madeAt = now;
    pool(now);
}

void LoadReports::pool(TimePoint now)
{
    m_pooled.clear();
    const auto add = [&](const PeerLoadReport &report) {
        if (!isFresh(report, now)) {
            return;
        }
        for (const ServerLoad &server : report.servers) {
            PooledTime &time = m_pooled[server.server];
            time.responses += server.responses;
            time.logSum += server.responses * std::log2(server.responseMs);
        }
    };
    add(m_own);
    for (const auto &[instance, report] : m_reports) {
        add(report);
    }
}

std::optional<ServiceLoadEstimate> LoadReports::serviceLoad(const std::string &service, TimePoint now) const
{
    const std::uint32_t hash = PeerLoadReport::hashOf(service);
    ServiceLoadEstimate estimate { .oldest = now };
    for (const auto &[instance, report] : m_reports) {
        const auto found
            = std::find_if(report.services.begin(), report.services.end(), [=](const auto &load) { return load.service == hash; });
        if (isFresh(report, now) && found != report.services.end()) {
            estimate.inFlight += found->inFlight;
            estimate.requestsPerSecond += found->requestsPerSecond;
            ++estimate.reports;
            estimate.oldest = std::min(estimate.oldest, report.madeAt);
        }
    }
    if (estimate.reports == 0) {
        return std::nullopt;
    }
    estimate.inFlight /= static_cast<double>(estimate.reports);
    estimate.requestsPerSecond /= static_cast<double>(estimate.reports);
    return estimate;
}

std::vector<double> LoadReports::compareServers(const std::vector<std::uint32_t> &tokens, TimePoint now) const
{
    std::vector<double> slowdowns(tokens.size(), 1);
    // Without other reports, the own times are all that is known, and ServerLatencyTracker compares by these.
    if (count(now) == 0) {
        return slowdowns;
    }
    std::vector<std::optional<double>> times(tokens.size());
    std::vector<double> known;
    for (std::size_t index = 0; index < tokens.size(); ++index) {
        const auto found = m_pooled.find(PeerLoadReport::hashOf(tokens[index]));
        if (found != m_pooled.end() && found->second.responses >= minResponses) {
            times[index] = found->second.logSum / found->second.responses;
            known.push_back(*times[index]);
        }
    }
    if (known.size() < minServers) {
        return slowdowns;
    }
    const auto quarter = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 4);
    std::nth_element(known.begin(), quarter, known.end());
    for (std::size_t index = 0; index < tokens.size(); ++index) {
        const double factor = times[index] ? std::exp2(*times[index] - *quarter) : 1;
        slowdowns[index] = factor >= slowFactor ? std::min(factor, maxSlowdown) : 1;
    }
    return slowdowns;
}

std::size_t LoadReports::count(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_reports.begin(), m_reports.end(), [now](const auto &entry) { return isFresh(entry.second, now); }));
}

std::chrono::nanoseconds LoadReports::oldestAge(TimePoint now) const
{
    std::chrono::nanoseconds age { 0 };
    for (const auto &[instance, report] : m_reports) {
        age = isFresh(report, now) ? std::max<std::chrono::nanoseconds>(age, now - report.madeAt) : age;
    }
    return age;
}

} // namespace Samphirepitch
