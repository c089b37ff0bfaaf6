#pragma once

#include <string_view>

namespace Samphirepitch
{

/** Interface of a subcommand of samphirepitch-load. */
class Command
{
public:
    virtual ~Command() = default;

    virtual std::string_view name() const = 0;
    virtual std::string_view summary() const = 0;

    /** Runs the command with the parsed flags. @return the exit code of the process */
    virtual int run() = 0;
};

} // namespace Samphirepitch
