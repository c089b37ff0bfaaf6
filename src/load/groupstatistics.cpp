#include "load/groupstatistics.h"

#include <algorithm>

namespace Samphirepitch
{

std::uint64_t OutcomeCounts::total() const
{
    return served + failed + unknown + notRun + refused + wrongService;
}

OutcomeCounts &OutcomeCounts::operator+=(const OutcomeCounts &other)
{
    served += other.served;
    failed += other.failed;
    unknown += other.unknown;
    notRun += other.notRun;
    refused += other.refused;
    wrongService += other.wrongService;
    return *this;
}

double GroupStatistics::imbalance() const
{
    std::uint64_t largest = 0;
    std::uint64_t sum = 0;
    for (const auto &[server, count] : servedBy) {
        largest = std::max(largest, count);
        sum += count;
    }
    return sum == 0 ? 0 : static_cast<double>(largest) * static_cast<double>(servedBy.size()) / static_cast<double>(sum);
}

void GroupStatistics::merge(const GroupStatistics &other)
{
    outcomes += other.outcomes;
    peakOutcomes += other.peakOutcomes;
    shortLatency.merge(other.shortLatency);
    stragglerLatency.merge(other.stragglerLatency);
    for (const auto &[server, count] : other.servedBy) {
        servedBy[server] += count;
    }
    started += other.started;
    unanswered += other.unanswered;
    repeats += other.repeats;
    duplicates += other.duplicates;
    late += other.late;
    crossed += other.crossed;
    contradictions += other.contradictions;
    extraRuns += other.extraRuns;
    brokenFlows += other.brokenFlows;
    flows += other.flows;
    feeds += other.feeds;
    seen += other.seen;
    unreadable += other.unreadable;
    sendErrors += other.sendErrors;
}

} // namespace Samphirepitch
