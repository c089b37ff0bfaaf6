#include "load/report.h"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace Samphirepitch
{

namespace
{

using Json = nlohmann::ordered_json;

std::string milliseconds(std::chrono::microseconds duration)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", static_cast<double>(duration.count()) / 1000);
    return text;
}

std::string quantiles(const LatencyHistogram &latency)
{
    return milliseconds(latency.quantile(0.5)) + '/' + milliseconds(latency.quantile(0.99)) + '/' + milliseconds(latency.quantile(0.999));
}

std::string tableRow(const GroupStatistics &statistics)
{
    const OutcomeCounts &outcomes = statistics.outcomes;
    char text[256];
    std::snprintf(text, sizeof text, "%-16s %9llu %9llu %7llu %7llu %7llu %7llu %7llu %7llu %9.3f  %-22s %s\n", statistics.name.c_str(),
        static_cast<unsigned long long>(statistics.started), static_cast<unsigned long long>(outcomes.served),
        static_cast<unsigned long long>(outcomes.failed), static_cast<unsigned long long>(outcomes.unknown),
        static_cast<unsigned long long>(outcomes.notRun), static_cast<unsigned long long>(outcomes.refused),
        static_cast<unsigned long long>(outcomes.wrongService), static_cast<unsigned long long>(statistics.brokenFlows),
        statistics.imbalance(), quantiles(statistics.shortLatency).c_str(), quantiles(statistics.stragglerLatency).c_str());
    return text;
}

Json outcomesJson(const OutcomeCounts &outcomes)
{
    return { { "served", outcomes.served }, { "failed", outcomes.failed }, { "unknown", outcomes.unknown }, { "not_run", outcomes.notRun },
        { "refused", outcomes.refused }, { "wrong_service", outcomes.wrongService } };
}

Json latencyJson(const LatencyHistogram &latency)
{
    return { { "count", latency.count() }, { "p50_us", latency.quantile(0.5).count() }, { "p99_us", latency.quantile(0.99).count() },
        { "p999_us", latency.quantile(0.999).count() } };
}

Json groupJson(const GroupStatistics &statistics)
{
    return { { "name", statistics.name }, { "started", statistics.started }, { "outcomes", outcomesJson(statistics.outcomes) },
        { "peak_outcomes", outcomesJson(statistics.peakOutcomes) }, { "latency", latencyJson(statistics.shortLatency) },
        { "straggler_latency", latencyJson(statistics.stragglerLatency) }, { "served_by", statistics.servedBy },
        { "imbalance", statistics.imbalance() }, { "unanswered", statistics.unanswered }, { "repeats", statistics.repeats },
        { "duplicates", statistics.duplicates }, { "late", statistics.late }, { "crossed", statistics.crossed },
        { "contradictions", statistics.contradictions }, { "extra_runs", statistics.extraRuns }, { "broken_flows", statistics.brokenFlows },
        { "flows", statistics.flows }, { "feeds", statistics.feeds }, { "seen", statistics.seen }, { "unreadable", statistics.unreadable },
        { "send_errors", statistics.sendErrors } };
}

} // namespace

Report::Report(std::string scenario, std::uint64_t seed)
    : m_scenario(std::move(scenario))
    , m_seed(seed)
{
}

void Report::add(const GroupStatistics &statistics)
{
    m_groups.push_back(&statistics);
}

std::string Report::table() const
{
    std::string text = "scenario " + m_scenario + ", seed " + std::to_string(m_seed)
        + "; latencies in ms: p50/p99/p99.9 from the intended send time\n"
        + "group              started    served  failed unknown not_run refused wrong_s  broken imbalance  short                  "
          "stragglers\n";
    for (const GroupStatistics *group : m_groups) {
        text += tableRow(*group);
    }
    const GroupStatistics all = total();
    text += tableRow(all);
    const OutcomeCounts &peak = all.peakOutcomes;
    if (peak.total() > 0) {
        char line[128];
        std::snprintf(line, sizeof line, "at the peak: served %llu of %llu (%.2f%%)\n", static_cast<unsigned long long>(peak.served),
            static_cast<unsigned long long>(peak.total()), 100.0 * static_cast<double>(peak.served) / static_cast<double>(peak.total()));
        text += line;
    }
    text += "flows=" + std::to_string(all.flows) + " feeds=" + std::to_string(all.feeds) + " seen=" + std::to_string(all.seen)
        + " unanswered=" + std::to_string(all.unanswered) + " repeats=" + std::to_string(all.repeats)
        + " duplicates=" + std::to_string(all.duplicates) + " late=" + std::to_string(all.late) + " crossed=" + std::to_string(all.crossed)
        + " contradictions=" + std::to_string(all.contradictions) + " extra_runs=" + std::to_string(all.extraRuns)
        + " unreadable=" + std::to_string(all.unreadable) + " send_errors=" + std::to_string(all.sendErrors) + '\n';
    return text;
}

std::string Report::json() const
{
    Json groups = Json::array();
    for (const GroupStatistics *group : m_groups) {
        groups.push_back(groupJson(*group));
    }
    return Json { { "scenario", m_scenario }, { "seed", m_seed }, { "groups", groups }, { "total", groupJson(total()) } }.dump(2) + '\n';
}

std::string Report::summaryLine() const
{
    const GroupStatistics all = total();
    return "load: served=" + std::to_string(all.outcomes.served) + " failed=" + std::to_string(all.outcomes.failed)
        + " unknown=" + std::to_string(all.outcomes.unknown) + " not_run=" + std::to_string(all.outcomes.notRun + all.outcomes.refused)
        + " broken_flows=" + std::to_string(all.brokenFlows) + " wrong_service=" + std::to_string(all.outcomes.wrongService);
}

bool Report::hasNoViolations() const
{
    const GroupStatistics all = total();
    return all.brokenFlows + all.outcomes.wrongService + all.crossed + all.contradictions + all.extraRuns == 0;
}

GroupStatistics Report::total() const
{
    GroupStatistics all;
    all.name = "all";
    for (const GroupStatistics *group : m_groups) {
        all.merge(*group);
    }
    return all;
}

} // namespace Samphirepitch
