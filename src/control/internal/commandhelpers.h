#pragma once

#include "control/commandcontext.h"
#include "control/commandexit.h"
#include "control/configfiles.h"
#include "core/error.h"
#include "objectstore/applyoutcome.h"

#include <asio/awaitable.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** Returns the change id of the command line, or a random one. */
std::string chooseChangeId(CommandContext &context);

/** Returns the exit code for a command that failed with @p error and changed nothing. */
CommandExit exitCodeOf(const Error &error);

/** Writes @p error and returns its exit code. */
CommandExit reportError(CommandContext &context, const Error &error);

/** Reports a wrong command line. */
CommandExit reportUsage(CommandContext &context, std::string_view command, std::string detail);

/** Reads and checks the files of a command line. @return the set without errors, or the exit code after writing what is wrong */
tl::expected<ConfigFiles, CommandExit> readFiles(CommandContext &context, std::string_view command, const std::vector<std::string> &paths);

/** Waits for an accepted change if --wait asks for it, writes the outcome and returns its exit code. */
asio::awaitable<CommandExit> finishChange(CommandContext &context, ApplyOutcome outcome);

} // namespace Samphirepitch
