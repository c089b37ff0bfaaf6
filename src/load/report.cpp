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

std::string row(const GroupFigures &figures)
{
    const OutcomeCounts &outcomes = figures.outcomes;
    char text[256];
    std::snprintf(text, sizeof text, "%-16s %9llu %9llu %7llu %7llu %7llu %7llu %7llu %7llu %9.3f  %-22s %s\n", figures.name.c_str(),
        static_cast<unsigned long long>(figures.started), static_cast<unsigned long long>(outcomes.served),
        static_cast<unsigned long long>(outcomes.failed), static_cast<unsigned long long>(outcomes.unknown),
        static_cast<unsigned long long>(outcomes.notRun), static_cast<unsigned long long>(outcomes.refused),
        static_cast<unsigned long long>(outcomes.wrongService), static_cast<unsigned long long>(figures.brokenFlows), figures.imbalance(),
        quantiles(figures.shortLatency).c_str(), quantiles(figures.stragglerLatency).c_str());
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

Json groupJson(const GroupFigures &figures)
{
    return { { "name", figures.name }, { "started", figures.started }, { "outcomes", outcomesJson(figures.outcomes) },
        { "peak_outcomes", outcomesJson(figures.peakOutcomes) }, { "latency", latencyJson(figures.shortLatency) },
        { "straggler_latency", latencyJson(figures.stragglerLatency) }, { "served_by", figures.servedBy },
        { "imbalance", figures.imbalance() }, { "unanswered", figures.unanswered }, { "repeats", figures.repeats },
        { "duplicates", figures.duplicates }, { "late", figures.late }, { "crossed", figures.crossed },
        { "contradictions", figures.contradictions }, { "extra_runs", figures.extraRuns }, { "broken_flows", figures.brokenFlows },
        { "flows", figures.flows }, { "feeds", figures.feeds }, { "seen", figures.seen }, { "unreadable", figures.unreadable },
        { "send_errors", figures.sendErrors } };
}

} // namespace

Report::Report(std::string scenario, std::uint64_t seed)
    : m_scenario(std::move(scenario))
    , m_seed(seed)
{
}

void Report::add(const GroupFigures &figures)
{
    m_groups.push_back(&figures);
}

std::string Report::table() const
{
    std::string text = "scenario " + m_scenario + ", seed " + std::to_string(m_seed)
        + "; latencies in ms: p50/p99/p99.9 from the intended send time\n"
        + "group              started    served  failed unknown not_run refused wrong_s  broken imbalance  short                  "
          "stragglers\n";
    for (const GroupFigures *group : m_groups) {
        text += row(*group);
    }
    const GroupFigures all = total();
    text += row(all);
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
    for (const GroupFigures *group : m_groups) {
        groups.push_back(groupJson(*group));
    }
    return Json { { "scenario", m_scenario }, { "seed", m_seed }, { "groups", groups }, { "total", groupJson(total()) } }.dump(2) + '\n';
}

std::string Report::lastLine() const
{
    const GroupFigures all = total();
    return "load: served=" + std::to_string(all.outcomes.served) + " failed=" + std::to_string(all.outcomes.failed)
        + " unknown=" + std::to_string(all.outcomes.unknown) + " not_run=" + std::to_string(all.outcomes.notRun + all.outcomes.refused)
        + " broken_flows=" + std::to_string(all.brokenFlows) + " wrong_service=" + std::to_string(all.outcomes.wrongService);
}

bool Report::isClean() const
{
    const GroupFigures all = total();
    return all.brokenFlows + all.outcomes.wrongService + all.crossed + all.contradictions + all.extraRuns == 0;
}

GroupFigures Report::total() const
{
    GroupFigures all;
    all.name = "all";
    for (const GroupFigures *group : m_groups) {
        all.merge(*group);
    }
    return all;
}

} // namespace Samphirepitch
