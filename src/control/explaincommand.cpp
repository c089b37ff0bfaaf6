#include "control/explaincommand.h"

#include "control/flowhistory.h"
#include "control/internal/commandhelpers.h"
#include "control/renderer.h"

#include <fstream>

namespace Samphirepitch
{

std::string_view ExplainCommand::name() const
{
    return "explain";
}

std::string_view ExplainCommand::arguments() const
{
    return "CLIENT:PORT>SERVICE:PORT LOGFILE...";
}

std::string_view ExplainCommand::summary() const
{
    return "shows from the logs of instances what happened to a flow, to its servers and to the views it was placed with";
}

bool ExplainCommand::needsPlatform() const
{
    return false;
}

asio::awaitable<CommandExit> ExplainCommand::run(CommandContext &context, std::vector<std::string> operands)
{
    if (operands.size() < 2) {
        co_return reportUsage(context, name(), "requires a flow and the name of at least one log file");
    }
    std::vector<Event> events;
    std::vector<Error> unreadable;
    for (std::size_t index = 1; index < operands.size(); ++index) {
        std::ifstream file(operands[index]);
        if (!file) {
            unreadable.emplace_back(ErrorKind::NotFound, operands[index], "the log file cannot be read");
            continue;
        }
        for (std::string line; std::getline(file, line);) {
            if (auto event = parseLogLine(line)) {
                events.push_back(*std::move(event));
            }
        }
    }
    const FlowHistory history(events, operands.front());
    context.renderer.events(history.events(), unreadable);
    co_return history.events().empty() || !unreadable.empty() ? CommandExit::Refused : CommandExit::Ok;
}

} // namespace Samphirepitch
