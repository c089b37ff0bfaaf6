#pragma once

#include "core/metricsource.h"
#include "daemon/latencyhistogram.h"

#include <deque>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** All metrics of an instance: the sources of its parts and its latency histograms. */
class Metrics
{
public:
    /** Adds a source, which has to outlive this object. */
    void add(const MetricSource &source);

    /**
     * Adds a histogram.
     * @param name with the suffix _seconds
     * @return the histogram, valid as long as this object
     */
    LatencyHistogram &addHistogram(std::string name, std::string help);

    /** Returns the current values in the text exposition format. */
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
