#include "control/statuscommand.h"

#include "control/internal/changes.h"
#include "control/renderer.h"
#include "control/statusreader.h"
#include "objectstore/configloader.h"

#include <optional>
#include <utility>

namespace Samphirepitch
{

namespace
{

asio::awaitable<CommandExit> askInstance(CommandContext &context, std::string_view command, std::vector<std::string> words)
{
    const auto address = Endpoint::parse(words.front());
    if (!address || words.size() > 1 || context.options.deployment.empty()) {
        co_return reportUsage(context, command, "name at most one instance by its address, and the deployment");
    }
    StatusReader reader(context);
    const auto summary = co_await reader.readFrom(*address);
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
    return "shows the head, the instances and what has not reported the head generation";
}

asio::awaitable<CommandExit> StatusCommand::run(CommandContext &context, std::vector<std::string> words)
{
    if (!words.empty()) {
        co_return co_await askInstance(context, name(), std::move(words));
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
