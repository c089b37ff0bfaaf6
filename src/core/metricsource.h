#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** One label of a metric. */
struct MetricLabel {
    std::string_view key;
    std::string_view value;
};

/** Receives the current values of metrics. Names follow the text exposition format: the prefix samphirepitch_ and the unit as suffix. */
class MetricWriter
{
public:
    virtual ~MetricWriter() = default;

    /**
     * Writes a value that never decreases while the instance runs.
     * @param name metric name
     * @param help one line of help for people
     * @param labels labels of this value; empty if it has none
     * @param value current value
     */
    virtual void counter(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, std::uint64_t value) = 0;

    /** Writes a value that can increase and decrease; the parameters are those of counter(). */
    virtual void gauge(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, double value) = 0;
};

/** A component of an instance that has metrics. */
class MetricSource
{
public:
    virtual ~MetricSource() = default;

    /** Writes the current value of each metric of the component to @p writer. */
    virtual void writeMetrics(MetricWriter &writer) const = 0;
};

} // namespace Samphirepitch
