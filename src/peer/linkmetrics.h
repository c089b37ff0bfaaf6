#pragma once

namespace Samphirepitch
{

class MetricWriter;
struct LinkCounters;

/** Writes the counters of links to @p writer. */
void writeLinkMetrics(const LinkCounters &counters, MetricWriter &writer);

} // namespace Samphirepitch
