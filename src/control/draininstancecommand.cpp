#include "control/draininstancecommand.h"

#include "control/instanceapi.h"
#include "control/internal/commandhelpers.h"
#include "control/internal/instancelookup.h"
#include "control/renderer.h"

namespace Samphirepitch
{

std::string_view DrainInstanceCommand::name() const
{
    return "drain-instance";
}

std::string_view DrainInstanceCommand::arguments() const
{
    return "ID|IP:PORT --deployment NAME";
}

std::string_view DrainInstanceCommand::summary() const
{
    return "asks an instance to stop gracefully";
}

asio::awaitable<CommandExit> DrainInstanceCommand::run(CommandContext &context, std::vector<std::string> operands)
{
    if (operands.size() != 1 || context.options.deployment.empty()) {
        co_return reportUsage(context, name(), "requires one instance and the name of the deployment (--deployment)");
    }
    const auto instances = co_await findInstances(context, operands);
    if (!instances) {
        co_return reportError(context, instances.error());
    }
    const TargetInstance &instance = instances->front();
    const auto reply = co_await context.instances.drain(instance.address, context.deadline);
    if (!reply) {
        const CommandExit code = reportError(context, reply.error());
        co_return reply.error().kind() == ErrorKind::OutcomeUnknown ? CommandExit::UnknownOutcome : code;
    }
    context.renderer.instanceDrain(instance.id, reply->accepted);
    co_return CommandExit::Ok;
}

} // namespace Samphirepitch
