#include "benchcommands.h"

#include "load/capacitybench.h"
#include "load/controlbench.h"

#include <gflags/gflags.h>

#include <iostream>

DECLARE_int64(seed);

namespace Samphirepitch
{

namespace
{

std::uint64_t seedOrDefault()
{
    return FLAGS_seed >= 0 ? static_cast<std::uint64_t>(FLAGS_seed) : 1;
}

} // namespace

std::string_view CapacityBenchCommand::name() const
{
    return "capacity-bench";
}

std::string_view CapacityBenchCommand::summary() const
{
    return "measures memory and processor time of configuration, member view and flow table at four sizes";
}

int CapacityBenchCommand::run()
{
    CapacityBench({ .seed = seedOrDefault() }).run(std::cout);
    return 0;
}

std::string_view ControlBenchCommand::name() const
{
    return "control-bench";
}

std::string_view ControlBenchCommand::summary() const
{
    return "measures the control traffic of 8 to 64 instances, idle and for each change";
}

int ControlBenchCommand::run()
{
    return ControlBench::runAll(seedOrDefault(), std::cout) ? 0 : 1;
}

} // namespace Samphirepitch
