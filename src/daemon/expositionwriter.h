#pragma once

#include "core/metricsource.h"

#include <string>
#include <vector>

namespace Samphirepitch
{

class LatencyHistogram;

/** Renders metrics in the text exposition format 0.0.4; values of one name are grouped, whatever their order was. */
class ExpositionWriter : public MetricWriter
{
public:
    void counter(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, std::uint64_t value) override;
    void gauge(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, double value) override;

    /** Writes a histogram with cumulative buckets in seconds. */
    void histogram(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, const LatencyHistogram &latency);

    /** Returns all metrics written so far. */
    std::string text() const;

private:
    /** The values of one name. */
    struct Family {
        std::string name;
        std::string header;
        std::string samples;
    };

    Family &family(std::string_view name, std::string_view help, std::string_view type);

    std::vector<Family> m_families;
};

} // namespace Samphirepitch
