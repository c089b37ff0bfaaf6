#pragma once

#include "core/error.h"

#include <string>
#include <vector>

namespace Samphirepitch
{

/**
 * Sets the flags of gflags from the command line. gflags itself ends the process with code 1 on a wrong flag, which stands
 * for findings here.
 */
class CommandLine
{
public:
    /**
     * Reads --name=value, --name value, --name and --noname; flags may stand before and after the command.
     * @return the words that are no flags, or InvalidArgument
     */
    static Result<std::vector<std::string>> parse(int argc, char **argv);

    /** Returns whether the flag @p name, which gflags defines itself, is set. */
    static bool isSet(const char *name);
};

} // namespace Samphirepitch
