#pragma once

#include "control/commandcontext.h"
#include "control/commandexit.h"

#include <asio/awaitable.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** Interface of a command of samphirepitchctl. */
class Command
{
public:
    virtual ~Command() = default;

    /** Returns the name of the command on the command line. */
    virtual std::string_view name() const = 0;

    /** Returns the operands and flags for the usage text, such as "FILE...". */
    virtual std::string_view arguments() const = 0;

    /** Returns one line that describes the command, for the usage text. */
    virtual std::string_view summary() const = 0;

    /** Returns whether the command uses CommandContext::platform. */
    virtual bool needsPlatform() const
    {
        return true;
    }

    /**
     * Runs the command and writes its result to the renderer of the context.
     * @param context must outlive the task
     * @param operands command-line arguments after the command name that are no flags
     * @return the exit code of the process
     */
    virtual asio::awaitable<CommandExit> run(CommandContext &context, std::vector<std::string> operands) = 0;
};

} // namespace Samphirepitch
