#include "daemon/metrics.h"

#include "daemon/expositionwriter.h"

namespace Samphirepitch
{

void Metrics::add(const MetricSource &source)
{
    m_sources.push_back(&source);
}

LatencyHistogram &Metrics::addHistogram(std::string name, std::string help)
{
    m_histograms.push_back({ std::move(name), std::move(help) });
    return m_histograms.back().latency;
}

std::string Metrics::render() const
{
    ExpositionWriter writer;
    for (const MetricSource *source : m_sources) {
        source->writeMetrics(writer);
    }
    for (const NamedHistogram &histogram : m_histograms) {
        writer.histogram(histogram.name, histogram.help, {}, histogram.latency);
    }
    return writer.text();
}

} // namespace Samphirepitch
