#include "control/statuscommand.h"

#include "control/internal/commandhelpers.h"
#include "control/renderer.h"
#include "control/statusreader.h"
#include "objectstore/configloader.h"

#include <optional>
#include <utility>

namespace Samphirepitch
{

namespace
{

asio::awaitable<CommandExit> showInstanceStatus(CommandContext &context, std::string_view command, std::vector<std::string> operands)
{
    const auto address = Endpoint::parse(operands.front());
    if (!address || operands.size() > 1 || context.options.deployment.empty()) {
        co_return reportUsage(
            context, command, "accepts at most one instance, by its address, with the name of the deployment (--deployment)");
    }
    StatusReader reader(context);
    const auto summary = co_await reader.readFromInstance(*address);
    if (!summary) {
        co_return reportError(context, summary.error());
    }
    context.renderer.status(std::nullopt, *summary, context.clock.wallNow());
    co_return CommandExit::Ok;
}

} // namespace

std::string_view StatusCommand::name() const
{
    return "status";
}

std::string_view StatusCommand::arguments() const
{
    return "[IP:PORT --deployment NAME]";
}

std::string_view StatusCommand::summary() const
{
    return "shows the head, the instances, and which of them have not reported the head generation";
}

asio::awaitable<CommandExit> StatusCommand::run(CommandContext &context, std::vector<std::string> operands)
{
    if (!operands.empty()) {
        co_return co_await showInstanceStatus(context, name(), std::move(operands));
    }
    ConfigLoader loader(*context.platform, context.clock, context.timer, context.random);
    const auto records = co_await loader.history(1, context.deadline);
    if (!records) {
        co_return reportError(context, records.error());
    }
    std::optional<HeadRecord> head;
    if (!records->empty()) {
        head = records->front();
    }
    StatusReader reader(context);
    const auto summary = co_await reader.read(head ? head->generation() : 0);
    if (!summary) {
        co_return reportError(context, summary.error());
    }
    context.renderer.status(head, *summary, context.clock.wallNow());
    co_return CommandExit::Ok;
}

} // namespace Samphirepitch
