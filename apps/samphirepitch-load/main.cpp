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

using Commands = std::vector<std::unique_ptr<Command>>;

Commands makeCommands()
{
    Commands commands;
    commands.push_back(std::make_unique<RunCommand>());
    commands.push_back(std::make_unique<RelayBenchCommand>());
    commands.push_back(std::make_unique<CapacityBenchCommand>());
    commands.push_back(std::make_unique<ControlBenchCommand>());
    return commands;
}

std::string usage(const Commands &commands)
{
    std::string text = "samphirepitch-load COMMAND [flags]\n";
    for (const auto &command : commands) {
        text.append("  ").append(command->name()).append("  ").append(command->summary()).append("\n");
    }
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    const Commands commands = makeCommands();
    gflags::SetVersionString(SAMPHIREPITCH_VERSION);
    gflags::SetUsageMessage(usage(commands));
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const auto &command : commands) {
        if (argc == 2 && command->name() == argv[1]) {
            return command->run();
        }
    }
    std::cerr << usage(commands);
    return 2;
}
