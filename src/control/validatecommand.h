#pragma once

#include "control/command.h"

namespace Samphirepitch
{

/** Checks configuration files; needs no platform. */
class ValidateCommand : public Command
{
public:
    std::string_view name() const override;
    std::string_view arguments() const override;
    std::string_view summary() const override;
    bool needsPlatform() const override;
    asio::awaitable<CommandExit> run(CommandContext &context, std::vector<std::string> operands) override;
};

} // namespace Samphirepitch
