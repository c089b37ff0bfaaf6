#pragma once

#include "control/command.h"

namespace Samphirepitch
{

/** Shows the events in log files that explain what happened to a flow. */
class ExplainCommand : public Command
{
public:
    std::string_view name() const override;
    std::string_view arguments() const override;
    std::string_view summary() const override;
    bool needsPlatform() const override;
    asio::awaitable<CommandExit> run(CommandContext &context, std::vector<std::string> operands) override;
};

} // namespace Samphirepitch
