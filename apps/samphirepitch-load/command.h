#pragma once

#include <string_view>

namespace Samphirepitch
{

/** A subcommand of samphirepitch-load. */
class Command
{
public:
    virtual ~Command() = default;

    virtual std::string_view name() const = 0;
    virtual std::string_view summary() const = 0;

    /** Runs the command with the parsed flags. @return the exit status */
    virtual int run() = 0;
};

} // namespace Samphirepitch
