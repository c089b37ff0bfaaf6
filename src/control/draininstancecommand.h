#pragma once

#include "control/command.h"

namespace Samphirepitch
{

/** Asks an instance to stop gracefully. */
class DrainInstanceCommand : public Command
{
public:
    std::string_view name() const override;
    std::string_view arguments() const override;
    std::string_view summary() const override;
    asio::awaitable<CommandExit> run(CommandContext &context, std::vector<std::string> operands) override;
};

} // namespace Samphirepitch
