#pragma once

#include "control/commandcontext.h"
#include "control/commandexit.h"

#include <asio/awaitable.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** One command of samphirepitchctl. */
class Command
{
public:
    virtual ~Command() = default;

    /** Returns the word that selects the command. */
    virtual std::string_view name() const = 0;

    /** Returns the arguments and flags, such as "FILE...". */
    virtual std::string_view arguments() const = 0;

    /** Returns one line that says what the command does. */
    virtual std::string_view summary() const = 0;

    /** Returns whether CommandContext::platform must be set. */
    virtual bool needsPlatform() const
    {
        return true;
    }

    /** Runs the command with the words after its name and writes results to the context's renderer. */
    virtual asio::awaitable<CommandExit> run(CommandContext &context, std::vector<std::string> operands) = 0;
};

} // namespace Samphirepitch
