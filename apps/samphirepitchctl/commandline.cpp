#include "commandline.h"

#include <gflags/gflags.h>

#include <string_view>

namespace Samphirepitch
{

namespace
{

/** Looks up a flag of the program. Of the flags that gflags defines itself, only --help and --version are accepted. */
bool findFlag(const std::string &name, gflags::CommandLineFlagInfo &info)
{
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info)
        && (name == "help" || name == "version" || std::string_view(info.filename).ends_with("samphirepitchctl/main.cpp"));
}

} // namespace

Result<std::vector<std::string>> CommandLine::parse(int argc, char **argv)
{
    std::vector<std::string> operands;
    for (int index = 1; index < argc; ++index) {
        const std::string argument = argv[index];
        if (!argument.starts_with('-')) {
            operands.push_back(argument);
            continue;
        }
        const std::size_t start = argument.find_first_not_of('-');
        std::string name = start == std::string::npos ? std::string() : argument.substr(start);
        std::string value;
        const std::size_t equals = name.find('=');
        const bool hasValue = equals != std::string::npos;
        if (hasValue) {
            value = name.substr(equals + 1);
            name.resize(equals);
        }
        gflags::CommandLineFlagInfo info;
        bool known = findFlag(name, info);
        if (!known && !hasValue && name.starts_with("no")) {
            name.erase(0, 2);
            known = findFlag(name, info) && info.type == "bool";
            value = "false";
        } else if (known && !hasValue && info.type == "bool") {
            value = "true";
        } else if (known && !hasValue) {
            if (++index == argc) {
                return failure(ErrorKind::InvalidArgument, argument, "the flag needs a value");
            }
            value = argv[index];
        }
        if (!known) {
            return failure(ErrorKind::InvalidArgument, argument, "unknown flag; see --help");
        }
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
            return failure(ErrorKind::InvalidArgument, argument, "\"" + value + "\" is not a value of type " + info.type);
        }
    }
    return operands;
}

bool CommandLine::isSet(const char *name)
{
    std::string value;
    return gflags::GetCommandLineOption(name, &value) && value == "true";
}

} // namespace Samphirepitch
