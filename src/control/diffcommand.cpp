#include "control/diffcommand.h"

#include "control/internal/commandhelpers.h"
#include "control/renderer.h"
#include "objectstore/configloader.h"

namespace Samphirepitch
{

std::string_view DiffCommand::name() const
{
    return "diff";
}

std::string_view DiffCommand::arguments() const
{
    return "FILE...";
}

std::string_view DiffCommand::summary() const
{
    return "shows what the files would change in the current configuration";
}

asio::awaitable<CommandExit> DiffCommand::run(CommandContext &context, std::vector<std::string> operands)
{
    const auto files = readFiles(context, name(), operands);
    if (!files) {
        co_return files.error();
    }
    ConfigLoader loader(*context.platform, context.clock, context.timer, context.random);
    const auto current = co_await loader.readCurrent(context.deadline);
    if (!current) {
        co_return reportError(context, current.error());
    }
    context.renderer.diff(ConfigDiff::between(*current->set, files->set));
    co_return CommandExit::Ok;
}

} // namespace Samphirepitch
