#pragma once

#include "control/command.h"

namespace Samphirepitch
{

/** Shows the head generation, the instances, and the instances that have not reported the head generation as in force. */
class StatusCommand : public Command
{
public:
    std::string_view name() const override;
    std::string_view arguments() const override;
    std::string_view summary() const override;
    asio::awaitable<CommandExit> run(CommandContext &context, std::vector<std::string> operands) override;
};

} // namespace Samphirepitch
