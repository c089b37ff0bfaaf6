#include "benchcommands.h"
#include "relaybenchcommand.h"
#include "runcommand.h"

#include <gflags/gflags.h>

#include <iostream>
#include <memory>
#include <vector>

using namespace Samphirepitch;

namespace
{

std::vector<std::unique_ptr<Subcommand>> subcommands()
{
    std::vector<std::unique_ptr<Subcommand>> table;
    table.push_back(std::make_unique<RunCommand>());
    table.push_back(std::make_unique<CapacityBenchCommand>());
    table.push_back(std::make_unique<ControlBenchCommand>());
    table.push_back(std::make_unique<RelayBenchCommand>());
    return table;
}

std::string usage()
{
    std::string text = "samphirepitch-load SUBCOMMAND [FLAGS]\n";
    for (const auto &subcommand : subcommands()) {
        text.append("  ").append(subcommand->usage()).append("\n");
    }
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetVersionString(SAMPHIREPITCH_VERSION);
    gflags::SetUsageMessage(usage());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string_view word = argc == 2 ? argv[1] : "";
    for (const auto &subcommand : subcommands()) {
        if (subcommand->name() == word) {
            return subcommand->run();
        }
    }
    std::cerr << usage();
    return 2;
}
