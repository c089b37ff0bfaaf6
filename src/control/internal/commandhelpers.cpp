#include "control/internal/commandhelpers.h"

#include "control/renderer.h"
#include "control/statusreader.h"
#include "core/random.h"

#include <utility>

namespace Samphirepitch
{

namespace
{

CommandExit exitCodeOf(const ApplyOutcome &outcome)
{
    switch (outcome.status) {
    case ApplyStatus::Accepted:
    case ApplyStatus::Unchanged:
        return CommandExit::Ok;
    case ApplyStatus::Conflict:
        return CommandExit::Conflict;
    case ApplyStatus::Unknown:
        return CommandExit::UnknownOutcome;
    case ApplyStatus::NotAccepted:
        break;
    }
    return exitCodeOf(*outcome.error);
}

} // namespace

std::string chooseChangeId(CommandContext &context)
{
    if (!context.options.changeId.empty()) {
        return context.options.changeId;
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text = "c-";
    for (std::uint64_t bits = context.random.next(), digit = 0; digit < 16; ++digit, bits >>= 4) {
        text += digits[bits & 0xf];
    }
    return text;
}

CommandExit exitCodeOf(const Error &error)
{
    switch (error.kind()) {
    case ErrorKind::Unavailable:
    case ErrorKind::RateLimited:
    case ErrorKind::DeadlineExceeded:
    case ErrorKind::InputOutput:
        return CommandExit::Unavailable;
    case ErrorKind::OutcomeUnknown:
        // Only reads, and writes of configuration parts, report this error here; neither can put a change in force.
        return CommandExit::Unavailable;
    case ErrorKind::VersionConflict:
        return CommandExit::Conflict;
    default:
        return CommandExit::Refused;
    }
}

CommandExit reportError(CommandContext &context, const Error &error)
{
    context.renderer.error(error);
    return exitCodeOf(error);
}

CommandExit reportUsage(CommandContext &context, std::string_view command, std::string detail)
{
    context.renderer.error(Error(ErrorKind::InvalidArgument, std::string(command), std::move(detail)));
    return CommandExit::Usage;
}

tl::expected<ConfigFiles, CommandExit> readFiles(CommandContext &context, std::string_view command, const std::vector<std::string> &paths)
{
    if (paths.empty()) {
        return tl::unexpected(reportUsage(context, command, "requires the name of at least one file"));
    }
    ConfigFiles files = ConfigFiles::read(paths);
    if (hasErrors(files.findings)) {
        context.renderer.findings(files.findings);
        return tl::unexpected(CommandExit::Refused);
    }
    return files;
}

asio::awaitable<CommandExit> finishChange(CommandContext &context, ApplyOutcome outcome)
{
    const CommandExit code = exitCodeOf(outcome);
    if (!context.options.wait || code != CommandExit::Ok) {
        context.renderer.outcome(outcome, nullptr);
        co_return code;
    }
    StatusReader reader(context);
    const auto summary = co_await reader.waitUntilInForce(outcome.generation);
    if (!summary) {
        context.renderer.outcome(outcome, nullptr);
        context.renderer.error(summary.error());
        co_return CommandExit::WaitExpired;
    }
    context.renderer.outcome(outcome, &*summary);
    co_return summary->inForceEverywhere() ? CommandExit::Ok : CommandExit::WaitExpired;
}

} // namespace Samphirepitch
