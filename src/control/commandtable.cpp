#include "control/commandtable.h"

#include "control/applycommand.h"
#include "control/diffcommand.h"
#include "control/draininstancecommand.h"
#include "control/eventscommand.h"
#include "control/explaincommand.h"
#include "control/historycommand.h"
#include "control/serverstatecommand.h"
#include "control/statuscommand.h"
#include "control/validatecommand.h"

#include <utility>

namespace Samphirepitch
{

CommandTable::CommandTable()
{
    add(std::make_unique<ValidateCommand>());
    add(std::make_unique<DiffCommand>());
    add(std::make_unique<ApplyCommand>());
    add(std::make_unique<StatusCommand>());
    add(std::make_unique<HistoryCommand>());
    add(std::make_unique<ServerStateCommand>(ServerState::Drain));
    add(std::make_unique<ServerStateCommand>(ServerState::Active));
    add(std::make_unique<DrainInstanceCommand>());
    add(std::make_unique<EventsCommand>());
    add(std::make_unique<ExplainCommand>());
}

void CommandTable::add(std::unique_ptr<Command> command)
{
    m_commands.push_back(std::move(command));
}

Command *CommandTable::find(std::string_view name) const
{
    for (const auto &command : m_commands) {
        if (command->name() == name) {
            return command.get();
        }
    }
    return nullptr;
}

std::string CommandTable::usage() const
{
    std::string text = "samphirepitchctl [--platform IP:PORT] [--output table|json] COMMAND\n\nCommands:\n";
    for (const auto &command : m_commands) {
        text.append("  ").append(command->name()).append(" ").append(command->arguments()).append("\n");
        text.append("      ").append(command->summary()).append("\n");
    }
    return text
        + "\nExit codes:\n"
          "  0  done, or nothing to do\n"
          "  1  findings, a refused input, or a thing that does not exist\n"
          "  2  the command line is wrong\n"
          "  3  another change was accepted first\n"
          "  4  the platform or an instance cannot be reached; the change is not accepted\n"
          "  5  the change may have been accepted; ask with history --change ID\n"
          "  6  accepted, but not in force everywhere by the deadline of --wait\n";
}

} // namespace Samphirepitch
