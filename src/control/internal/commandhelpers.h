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

/** Returns the change id from the command line, or a random one if it is not set. */
std::string chooseChangeId(CommandContext &context);

/** Returns the exit code of a command that failed with @p error and did not publish a change. */
CommandExit exitCodeOf(const Error &error);

/** Writes @p error. @return its exit code */
CommandExit reportError(CommandContext &context, const Error &error);

/** Writes that the command line of @p command is invalid. @return CommandExit::Usage */
CommandExit reportUsage(CommandContext &context, std::string_view command, std::string detail);

/** Reads and checks configuration files. @return the files if they have no errors; the exit code after writing the errors otherwise */
tl::expected<ConfigFiles, CommandExit> readFiles(CommandContext &context, std::string_view command, const std::vector<std::string> &paths);

/** Writes the outcome of a change, after waiting for an accepted change to be in force if --wait is set. @return the exit code */
asio::awaitable<CommandExit> finishChange(CommandContext &context, ApplyOutcome outcome);

} // namespace Samphirepitch
