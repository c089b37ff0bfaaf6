#pragma once

namespace Samphirepitch
{

class MetricWriter;
struct LinkCounters;

/** Writes the link counters as metrics. */
void writeLinkMetrics(const LinkCounters &counters, MetricWriter &writer);

} // namespace Samphirepitch
