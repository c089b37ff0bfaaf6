#pragma once

#include "core/metricsource.h"
#include "daemon/latencyhistogram.h"

#include <deque>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Registry of all metrics of an instance: the metric sources of its components and its latency histograms. */
class Metrics
{
public:
    /** Adds a metric source, which must outlive this object. */
    void add(const MetricSource &source);

    /**
     * Adds a latency histogram.
     * @param name metric name; must end in _seconds
     * @param help description of the metric
     * @return the histogram, valid for the lifetime of this object
     */
    LatencyHistogram &addHistogram(std::string name, std::string help);

    /** Returns the current values in the Prometheus text exposition format. */
    std::string render() const;

private:
    struct NamedHistogram {
        std::string name;
        std::string help;
        LatencyHistogram latency {};
    };

    std::vector<const MetricSource *> m_sources;
    std::deque<NamedHistogram> m_histograms;
};

} // namespace Samphirepitch
