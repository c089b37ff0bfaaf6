#include "control/validatecommand.h"

#include "control/configfiles.h"
#include "control/internal/commandhelpers.h"
#include "control/renderer.h"

namespace Samphirepitch
{

std::string_view ValidateCommand::name() const
{
    return "validate";
}

std::string_view ValidateCommand::arguments() const
{
    return "FILE...";
}

std::string_view ValidateCommand::summary() const
{
    return "checks configuration files without the platform";
}

bool ValidateCommand::needsPlatform() const
{
    return false;
}

asio::awaitable<CommandExit> ValidateCommand::run(CommandContext &context, std::vector<std::string> operands)
{
    if (operands.empty()) {
        co_return reportUsage(context, name(), "requires the name of at least one file");
    }
    const ConfigFiles files = ConfigFiles::read(operands);
    context.renderer.findings(files.findings);
    co_return hasErrors(files.findings) ? CommandExit::Refused : CommandExit::Ok;
}

} // namespace Samphirepitch
