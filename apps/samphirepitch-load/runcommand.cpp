#include "runcommand.h"

#include "load/loadrun.h"
#include "load/report.h"
#include "load/scenario.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

DEFINE_string(scenario, "", "run: scenario file (TOML)");
DEFINE_int64(duration_ms, -1, "run: overrides duration_ms of the scenario; -1 keeps it");
DEFINE_int64(seed, -1, "run: overrides seed of the scenario; capacity-bench, control-bench: the seed; -1 for that of the scenario, or 1");
DEFINE_string(json, "", "run: also writes the report as JSON to this file");

namespace Samphirepitch
{

namespace
{

Scenario applyFlags(const Scenario &scenario)
{
    Scenario::Fields fields = scenario.values();
    if (FLAGS_duration_ms >= 0) {
        fields.duration = std::chrono::milliseconds(FLAGS_duration_ms);
    }
    if (FLAGS_seed >= 0) {
        fields.seed = static_cast<std::uint64_t>(FLAGS_seed);
    }
    return Scenario(std::move(fields));
}

} // namespace

std::string_view RunCommand::name() const
{
    return "run";
}

std::string_view RunCommand::summary() const
{
    return "--scenario FILE [--duration_ms N] [--seed N] [--json FILE]   generates a load and prints a report";
}

int RunCommand::run()
{
    const auto read = Scenario::load(FLAGS_scenario);
    if (!read) {
        for (const KeyFinding &finding : read.error()) {
            std::cerr << finding.describe() << '\n';
        }
        return 2;
    }
    const SteadyClock clock;
    LoadRun load(applyFlags(*read), clock);
    if (const auto done = load.run(); !done) {
        std::cerr << done.error().describe() << '\n';
        return 1;
    }
    const Report report = load.report();
    if (!FLAGS_json.empty() && !(std::ofstream(FLAGS_json) << report.json())) {
        std::cerr << FLAGS_json << ": the report cannot be written\n";
        return 1;
    }
    std::cout << report.table() << report.summaryLine() << std::endl;
    return 0;
}

} // namespace Samphirepitch
