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

    /** Takes another command. */
    void add(std::unique_ptr<Command> command);

    /** Returns the command @p name, or null. */
    Command *find(std::string_view name) const;

    /** Returns one line for each command, and the exit codes. */
    std::string usage() const;

private:
    std::vector<std::unique_ptr<Command>> m_commands;
};

} // namespace Samphirepitch
