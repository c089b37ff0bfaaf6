#pragma once

#include "control/command.h"
#include "model/backendserver.h"

namespace Samphirepitch
{

/** The commands drain and undrain, which publish a change of the state of one backend server. */
class ServerStateCommand : public Command
{
public:
    /** @param state state that the command sets: Drain for drain, Active for undrain */
    explicit ServerStateCommand(ServerState state);

    std::string_view name() const override;
    std::string_view arguments() const override;
    std::string_view summary() const override;
    asio::awaitable<CommandExit> run(CommandContext &context, std::vector<std::string> operands) override;

private:
    ServerState m_state;
};

} // namespace Samphirepitch
