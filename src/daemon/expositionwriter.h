#pragma once

#include "core/metricsource.h"

#include <string>
#include <vector>

namespace Samphirepitch
{

class LatencyHistogram;

/** Renders metrics in the Prometheus text exposition format 0.0.4. Samples of one metric are grouped, in whatever order they arrive. */
class ExpositionWriter : public MetricWriter
{
public:
    void counter(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, std::uint64_t value) override;
    void gauge(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, double value) override;

    /** Adds a histogram with cumulative buckets in seconds. */
    void histogram(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, const LatencyHistogram &latency);

    /** Returns the text of all metrics added so far. */
    std::string text() const;

private:
    /** A metric with its samples, each with its own labels. */
    struct Family {
        std::string name;
        std::string header;
        std::string samples;
    };

    Family &family(std::string_view name, std::string_view help, std::string_view type);

    std::vector<Family> m_families;
};

} // namespace Samphirepitch
