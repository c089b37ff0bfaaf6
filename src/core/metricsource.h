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

/** Takes the current values of metrics; names follow the text exposition format (samphirepitch_..., units as suffix). */
class MetricWriter
{
public:
    virtual ~MetricWriter() = default;

    /** Writes a value that only rises. */
    virtual void counter(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, std::uint64_t value) = 0;

    /** Writes a value that can rise and fall. */
    virtual void gauge(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, double value) = 0;
};

/** A part of an instance that has metrics. */
class MetricSource
{
public:
    virtual ~MetricSource() = default;

    /** Writes all current values to @p writer. */
    virtual void writeMetrics(MetricWriter &writer) const = 0;
};

} // namespace Samphirepitch
