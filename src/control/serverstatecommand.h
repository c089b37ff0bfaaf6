#pragma once

#include "control/command.h"
#include "model/backendserver.h"

namespace Samphirepitch
{

/** The commands drain and undrain: publishes a change of the state of one backend server. */
class ServerStateCommand : public Command
{
public:
    /** @p state is what the command sets. */
    explicit ServerStateCommand(ServerState state);

    std::string_view name() const override;
    std::string_view arguments() const override;
    std::string_view summary() const override;
    asio::awaitable<CommandExit> run(CommandContext &context, std::vector<std::string> operands) override;

private:
    ServerState m_state;
};

} // namespace Samphirepitch
