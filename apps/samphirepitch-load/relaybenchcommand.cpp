#include "relaybenchcommand.h"

#include "load/relaybench.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(relay_flows, 300000, "relay-bench: number of flows in the flow table of the data path");
DEFINE_uint64(relay_phase_ms, 2000, "relay-bench: duration of each measurement in milliseconds");
DEFINE_uint64(relay_rounds, 3, "relay-bench: number of measurements of the data path and of the relay");
DEFINE_uint64(relay_window, 256, "relay-bench: number of packets in flight at the same time");
DEFINE_double(relay_min_ratio, 0, "relay-bench: exits with 1 if the ratio of the data path to the relay is below this");

namespace Samphirepitch
{

std::string_view RelayBenchCommand::name() const
{
    return "relay-bench";
}

std::string_view RelayBenchCommand::summary() const
{
    return "measures packets per second and latency of the data path and of a plain relay";
}

int RelayBenchCommand::run()
{
    const SteadyClock clock;
    const auto result = RelayBench::run({ .flows = FLAGS_relay_flows,
                                            .phase = std::chrono::milliseconds(FLAGS_relay_phase_ms),
                                            .rounds = FLAGS_relay_rounds,
                                            .window = FLAGS_relay_window },
        clock);
    if (!result) {
        std::cerr << result.error().describe() << "\n";
        return 1;
    }
    std::cout << result->summaryLine() << std::endl;
    return result->ratio >= FLAGS_relay_min_ratio ? 0 : 1;
}

} // namespace Samphirepitch
