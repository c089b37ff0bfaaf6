#pragma once

#include "core/error.h"

#include <string>
#include <vector>

namespace Samphirepitch
{

/**
 * Parses the command line and sets the gflags flags. The parser of gflags is not used, since it exits with code 1 on an invalid flag,
 * and that code means errors in a configuration here.
 */
class CommandLine
{
public:
    /**
     * Parses --name=value, --name value, --name and --noname. Flags may precede or follow the command.
     * @return the arguments that are no flags; InvalidArgument for an unknown flag, a missing value or an invalid value
     */
    static Result<std::vector<std::string>> parse(int argc, char **argv);

    /** Returns whether the boolean flag @p name is set, also if gflags itself defines it. */
    static bool isSet(const char *name);
};

} // namespace Samphirepitch
