#pragma once

#include "core/clock.h"
#include "core/error.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Samphirepitch
{

/** Settings of a relay measurement. */
struct RelayBenchSettings {
    std::size_t flows = 300000; /**< flows held by the data path during the measurement */
    std::chrono::milliseconds phase { 2000 }; /**< length of each measurement */
    std::size_t rounds = 3; /**< measurements of each of the two, in turn */
    std::size_t window = 256; /**< packets under way at the same time */
    std::size_t payload = 64; /**< bytes of each packet behind the header, at least 8 */
    std::uint64_t seed = 20261204; /**< order of the flows */
};

/** Packets a second in both directions together, and the time from sending a packet to its answer. */
struct RelayMeasurement {
    double packetsPerSecond = 0;
    double p50Microseconds = 0;
    double p99Microseconds = 0;
};

/** The result of a relay measurement. */
struct RelayBenchResult {
    RelayMeasurement dataPath; /**< medians over the rounds */
    RelayMeasurement baseline;
    double ratio = 0; /**< packets a second of the data path for each one of the plain relay */
    std::size_t heldFlows = 0;
    double bytesPerFlow = 0; /**< memory of the flow table for each held flow */
    std::uint64_t lost = 0; /**< packets without an answer */

    /** Returns the line "bench: name=relay ours=... baseline=... ratio=...". */
    std::string summaryLine() const;
};

/** Compares the data path with a plain relay in one process, on loopback, with a thread for each part. */
class RelayBench
{
public:
    /** Measures. @return the figures, or InputOutput if a socket can't be opened */
    static Result<RelayBenchResult> run(const RelayBenchSettings &settings, const Clock &clock);
};

} // namespace Samphirepitch
