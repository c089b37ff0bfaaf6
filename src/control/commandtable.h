#pragma once

#include "control/command.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** All commands of samphirepitchctl. */
class CommandTable
{
public:
    CommandTable();

    /** Adds a command. */
    void add(std::unique_ptr<Command> command);

    /** Returns the command with this name; null if there is none. */
    Command *find(std::string_view name) const;

    /** Returns the usage text, which lists all commands and the exit codes. */
    std::string usage() const;

private:
    std::vector<std::unique_ptr<Command>> m_commands;
};

} // namespace Samphirepitch
