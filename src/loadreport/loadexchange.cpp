#include "loadreport/loadexchange.h"

#include "shortage/flowadmission.h"

#include <chrono>
#include <utility>
#include <vector>

namespace Samphirepitch
{

LoadExchange::LoadExchange(Dependencies dependencies)
    : m_clock(dependencies.clock)
    , m_admission(dependencies.admission)
{
}

PeerLoadReport LoadExchange::makeReport()
{
    std::vector<ServiceLoad> loads;
    for (const std::string &name : m_admission.services()) {
        const ServiceLoadState &state = *m_admission.load(name);
        loads.push_back({ .service = PeerLoadReport::hashOf(name),
            .inFlight = state.atServers(),
            .requestsPerSecond = state.requestsPerSecond.value(),
            .held = static_cast<double>(state.queue.size()),
            .responseMs = std::chrono::duration<double, std::milli>(state.limit.responseTime()).count() });
    }
    const TimePoint now = m_clock.now();
    m_reports.recordOwn(m_reporter.servers(now), now);
    return m_reporter.makeReport(std::move(loads), now);
}

void LoadExchange::receive(const std::string &instance, const PeerLoadReport &report)
{
    m_reports.record(instance, report, m_clock.now());
}

LoadReporter &LoadExchange::reporter()
{
    return m_reporter;
}

const LoadReports &LoadExchange::reports() const
{
    return m_reports;
}

void LoadExchange::writeMetrics(MetricWriter &writer) const
{
    const TimePoint now = m_clock.now();
    writer.gauge("samphirepitch_load_reports", "Other instances whose load report is recent enough to count.", {},
        static_cast<double>(m_reports.count(now)));
    writer.gauge("samphirepitch_load_reports_age_seconds", "Age of the oldest load report that counts; 0 without reports.", {},
        std::chrono::duration<double>(m_reports.oldestAge(now)).count());
    writer.counter("samphirepitch_responses_early_total",
        "Responses that came too early to be more than the rejection of a full server; their times are not reported.", {},
        m_reporter.earlyCount());
}

} // namespace Samphirepitch
