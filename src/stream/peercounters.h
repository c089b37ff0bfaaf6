#pragma once

#include "core/metricsource.h"

#include <cstdint>

namespace Samphirepitch
{

/** Counts of the messages and states that an instance exchanges with others. */
struct PeerCounters {
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t messagesRefused = 0;
    std::uint64_t pulls = 0;
    std::uint64_t failedPulls = 0;

    /** Writes the counts as metrics. */
    void write(MetricWriter &writer) const;
};

} // namespace Samphirepitch
