#pragma once

#include "core/clock.h"
#include "core/metricsource.h"
#include "loadreport/loadreporter.h"
#include "loadreport/loadreports.h"
#include "loadreport/peerloadreport.h"

#include <string>

namespace Samphirepitch
{

class FlowAdmission;

/** The load reports that an instance sends with its gossip messages and those that it receives. */
class LoadExchange : public MetricSource
{
public:
    /** The objects that the exchange uses. All of them must outlive it. */
    struct Dependencies {
        const Clock &clock;
        const FlowAdmission &admission;
    };

    explicit LoadExchange(Dependencies dependencies);

    /** Returns the report that is sent with a message now. */
    PeerLoadReport makeReport();

    /** Keeps the report that arrived with a message of another instance. */
    void receive(const std::string &instance, const PeerLoadReport &report);

    /** Receives the responses that this instance sees. */
    LoadReporter &reporter();

    const LoadReports &reports() const;

    void writeMetrics(MetricWriter &writer) const override;

private:
    const Clock &m_clock;
    const FlowAdmission &m_admission;
    LoadReporter m_reporter;
    LoadReports m_reports;
};

} // namespace Samphirepitch
