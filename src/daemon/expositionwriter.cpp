#include "daemon/expositionwriter.h"

#include "daemon/latencyhistogram.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace Samphirepitch
{

namespace
{

using std::chrono::microseconds;

constexpr std::array bucketBounds { microseconds(100), microseconds(250), microseconds(500), microseconds(1000), microseconds(2500),
    microseconds(5000), microseconds(10000), microseconds(25000), microseconds(50000), microseconds(100000), microseconds(250000),
    microseconds(500000), microseconds(1000000), microseconds(2500000), microseconds(5000000), microseconds(10000000) };

std::string escape(std::string_view text, bool isLabel)
{
    std::string result;
    for (const char character : text) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '\\' || (isLabel && character == '"')) {
            result += '\\';
        }
        result += character;
    }
    return result;
}

std::string formatNumber(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 32> text {};
    const auto [end, status] = std::to_chars(text.data(), text.data() + text.size(), value);
    return { text.data(), end };
}

std::string formatSample(std::string_view name, const std::vector<MetricLabel> &labels, const std::string &value)
{
    std::string line(name);
    for (const MetricLabel &label : labels) {
        line += &label == labels.data() ? '{' : ',';
        line.append(label.key).append("=\"").append(escape(label.value, true)).append("\"");
    }
    return line + (labels.empty() ? " " : "} ") + value + '\n';
}

} // namespace

void ExpositionWriter::counter(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, std::uint64_t value)
{
    family(name, help, "counter").samples += formatSample(name, labels, std::to_string(value));
}

void ExpositionWriter::gauge(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, double value)
{
    family(name, help, "gauge").samples += formatSample(name, labels, formatNumber(value));
}

void ExpositionWriter::histogram(
    std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, const LatencyHistogram &latency)
{
    std::string &samples = family(name, help, "histogram").samples;
    const std::string base(name);
    std::vector<MetricLabel> bucketLabels = labels;
    bucketLabels.push_back({ "le", "" });
    for (const microseconds bound : bucketBounds) {
        const std::string text = formatNumber(std::chrono::duration<double>(bound).count());
        bucketLabels.back().value = text;
        samples += formatSample(base + "_bucket", bucketLabels, std::to_string(latency.countUpTo(bound)));
    }
    bucketLabels.back().value = "+Inf";
    samples += formatSample(base + "_bucket", bucketLabels, std::to_string(latency.count()));
    samples += formatSample(base + "_sum", labels, formatNumber(std::chrono::duration<double>(latency.sum()).count()));
    samples += formatSample(base + "_count", labels, std::to_string(latency.count()));
}

std::string ExpositionWriter::text() const
{
    std::string all;
    for (const Family &family : m_families) {
        all += family.header + family.samples;
    }
    return all;
}

ExpositionWriter::Family &ExpositionWriter::family(std::string_view name, std::string_view help, std::string_view type)
{
    const auto found = std::find_if(m_families.begin(), m_families.end(), [name](const Family &family) { return family.name == name; });
    if (found != m_families.end()) {
        return *found;
    }
    const std::string text(name);
    std::string header = "# HELP " + text + ' ' + escape(help, false) + "\n# TYPE " + text + ' ' + std::string(type) + '\n';
    return m_families.emplace_back(Family { text, std::move(header), {} });
}

} // namespace Samphirepitch
