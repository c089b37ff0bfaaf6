#include "control/historycommand.h"

#include "control/internal/commandhelpers.h"
#include "control/renderer.h"
#include "objectstore/configloader.h"

namespace Samphirepitch
{

std::string_view HistoryCommand::name() const
{
    return "history";
}

std::string_view HistoryCommand::arguments() const
{
    return "[--count N] [--change ID]";
}

std::string_view HistoryCommand::summary() const
{
    return "lists the accepted changes, or shows one by its change id";
}

asio::awaitable<CommandExit> HistoryCommand::run(CommandContext &context, std::vector<std::string> operands)
{
    if (!operands.empty()) {
        co_return reportUsage(context, name(), "takes no arguments");
    }
    ConfigLoader loader(*context.platform, context.clock, context.timer, context.random);
    if (!context.options.changeId.empty()) {
        const auto record = co_await loader.findChange(context.options.changeId, context.deadline);
        if (!record) {
            co_return reportError(context, record.error());
        }
        const std::vector<HeadRecord> found { *record };
        context.renderer.records(found);
        co_return CommandExit::Ok;
    }
    const auto records = co_await loader.history(context.options.count, context.deadline);
    if (!records) {
        co_return reportError(context, records.error());
    }
    context.renderer.records(*records);
    co_return CommandExit::Ok;
}

} // namespace Samphirepitch
