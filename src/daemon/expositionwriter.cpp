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

constexpr std::array buckets { microseconds(100), microseconds(250), microseconds(500), microseconds(1000), microseconds(2500),
    microseconds(5000), microseconds(10000), microseconds(25000), microseconds(50000), microseconds(100000), microseconds(250000),
    microseconds(500000), microseconds(1000000), microseconds(2500000), microseconds(5000000), microseconds(10000000) };

std::string escaped(std::string_view text, bool isLabel)
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

std::string number(double value)
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

std::string sample(std::string_view name, const std::vector<MetricLabel> &labels, const std::string &value)
{
    std::string line(name);
    for (const MetricLabel &label : labels) {
        line += &label == labels.data() ? '{' : ',';
        line.append(label.key).append("=\"").append(escaped(label.value, true)).append("\"");
    }
    return line + (labels.empty() ? " " : "} ") + value + '\n';
}

} // namespace

void ExpositionWriter::counter(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, std::uint64_t value)
{
    family(name, help, "counter").samples += sample(name, labels, std::to_string(value));
}

void ExpositionWriter::gauge(std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, double value)
{
    family(name, help, "gauge").samples += sample(name, labels, number(value));
}

void ExpositionWriter::histogram(
    std::string_view name, std::string_view help, const std::vector<MetricLabel> &labels, const LatencyHistogram &latency)
{
    std::string &samples = family(name, help, "histogram").samples;
    const std::string base(name);
    std::vector<MetricLabel> withEdge = labels;
    withEdge.push_back({ "le", "" });
    for (const microseconds edge : buckets) {
        const std::string text = number(std::chrono::duration<double>(edge).count());
        withEdge.back().value = text;
        samples += sample(base + "_bucket", withEdge, std::to_string(latency.countUpTo(edge)));
    }
    withEdge.back().value = "+Inf";
    samples += sample(base + "_bucket", withEdge, std::to_string(latency.count()));
    samples += sample(base + "_sum", labels, number(std::chrono::duration<double>(latency.sum()).count()));
    samples += sample(base + "_count", labels, std::to_string(latency.count()));
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
    std::string header = "# HELP " + text + ' ' + escaped(help, false) + "\n# TYPE " + text + ' ' + std::string(type) + '\n';
    return m_families.emplace_back(Family { text, std::move(header), {} });
}

} // namespace Samphirepitch
