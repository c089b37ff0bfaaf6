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
    std::size_t flows = 300000; /**< flows in the flow table of the data path during the measurement */
    std::chrono::milliseconds phase { 2000 }; /**< length of each measurement */
    std::size_t rounds = 3; /**< measurements of the data path and of the plain relay, in turn */
    std::size_t window = 256; /**< maximum number of packets in flight */
    std::size_t payload = 64; /**< bytes of each packet after the proxy header, at least 8 */
    std::uint64_t seed = 20261204; /**< seed of the order of the flows */
};

/** Throughput in packets per second, both directions together, and the round-trip time from sending a packet to its response. */
struct RelayMeasurement {
    double packetsPerSecond = 0;
    double p50Microseconds = 0;
    double p99Microseconds = 0;
};

/** The result of a relay measurement. */
struct RelayBenchResult {
    RelayMeasurement dataPath; /**< medians over the rounds, of the data path */
    RelayMeasurement baseline; /**< the same of the plain relay */
    double ratio = 0; /**< throughput of the data path divided by that of the plain relay */
    std::size_t heldFlows = 0;
    double bytesPerFlow = 0; /**< memory of the flow table divided by its number of flows */
    std::uint64_t lost = 0; /**< packets without a response */

    /** Returns the line "bench: name=relay ours=... baseline=... ratio=...". */
    std::string summaryLine() const;
};

/** Compares the data path with a plain relay over loopback, with a thread each for data path, relay, server and generator. */
class RelayBench
{
public:
    /** Runs the measurement; blocks until it has ended. @return the result, or InputOutput if a socket cannot be opened */
    static Result<RelayBenchResult> run(const RelayBenchSettings &settings, const Clock &clock);
};

} // namespace Samphirepitch
