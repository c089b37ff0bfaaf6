#include "control/applycommand.h"

#include "control/internal/commandhelpers.h"
#include "control/renderer.h"
#include "objectstore/publisher.h"

#include <utility>

namespace Samphirepitch
{

std::string_view ApplyCommand::name() const
{
    return "apply";
}

std::string_view ApplyCommand::arguments() const
{
    return "FILE... [--wait] [--timeout_ms N] [--expect_generation N] [--change_id ID]";
}

std::string_view ApplyCommand::summary() const
{
    return "publishes the files as the new configuration";
}

asio::awaitable<CommandExit> ApplyCommand::run(CommandContext &context, std::vector<std::string> operands)
{
    const auto files = readFiles(context, name(), operands);
    if (!files) {
        co_return files.error();
    }
    ApplyRequest request;
    request.set = files->set;
    request.expectedGeneration = context.options.expectedGeneration;
    request.changeId = chooseChangeId(context);
    // A change id from the command line may belong to an earlier attempt whose outcome was unknown.
    request.isRetry = !context.options.changeId.empty();
    request.author = context.options.author;
    request.deadline = context.deadline;
    Publisher publisher(*context.platform, context.clock, context.timer, context.random);
    auto outcome = co_await publisher.apply(std::move(request));
    outcome.findings = files->findings;
    co_return co_await finishChange(context, std::move(outcome));
}

} // namespace Samphirepitch
