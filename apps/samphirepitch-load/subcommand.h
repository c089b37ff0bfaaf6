#pragma once

#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** One subcommand of samphirepitch-load. */
class Subcommand
{
public:
    virtual ~Subcommand() = default;

    /** Returns the word on the command line. */
    virtual std::string_view name() const = 0;

    /** Returns the arguments and one line of help. */
    virtual std::string_view usage() const = 0;

    /** Runs with the flags of the command line. @return exit code: 0 done, 1 failed, 2 wrong usage */
    virtual int run() = 0;
};

} // namespace Samphirepitch
