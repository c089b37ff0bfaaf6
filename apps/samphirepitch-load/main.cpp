#include "relaybenchcommand.h"

#include <gflags/gflags.h>

#include <iostream>
#include <memory>
#include <vector>

using namespace Samphirepitch;

int main(int argc, char **argv)
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<RelayBenchCommand>());

    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const auto &command : commands) {
        if (argc == 2 && command->name() == argv[1]) {
            return command->run();
        }
    }
    std::cerr << "usage: samphirepitch-load COMMAND [flags]\n";
    for (const auto &command : commands) {
        std::cerr << "  " << command->name() << "  " << command->summary() << "\n";
    }
    return 2;
}
