#include "control/serverstatecommand.h"

#include "control/internal/commandhelpers.h"
#include "objectstore/publisher.h"

#include <utility>

namespace Samphirepitch
{

namespace
{

// After a conflict with another change, the state change is applied again to the new generation, as it affects only one server.
constexpr int maxAttempts = 8;

/** Returns a copy of @p set in which one server has the state @p state; NotFound if there is no such server. */
Result<ConfigSet> withServerState(const ConfigSet &set, const std::string &poolName, const std::string &serverName, ServerState state)
{
    ConfigSet::Fields fields { set.failureDomains(), {}, set.policies(), set.services() };
    bool found = false;
    for (const BackendPool &pool : set.pools()) {
        BackendPool::Fields poolFields { pool.name(), {}, pool.domains() };
        for (const BackendServer &server : pool.servers()) {
            const bool isTarget = pool.name() == poolName && server.name() == serverName;
            found = found || isTarget;
            poolFields.servers.push_back(BackendServer({ server.name(), server.failureDomain(), server.address(), server.health(),
                server.weight(), server.slots(), server.connections(), isTarget ? state : server.state() }));
        }
        fields.pools.push_back(BackendPool(std::move(poolFields)));
    }
    if (!found) {
        return failure(ErrorKind::NotFound, "server " + poolName + "/" + serverName, "the current configuration has no such server");
    }
    return ConfigSet(std::move(fields));
}

} // namespace

ServerStateCommand::ServerStateCommand(ServerState state)
    : m_state(state)
{
}

std::string_view ServerStateCommand::name() const
{
    return m_state == ServerState::Drain ? "drain" : "undrain";
}

std::string_view ServerStateCommand::arguments() const
{
    return "POOL/SERVER [--wait] [--timeout_ms N]";
}

std::string_view ServerStateCommand::summary() const
{
    return m_state == ServerState::Drain ? "sends no new work to a backend server; its flows continue"
                                         : "sends new work to a backend server again";
}

asio::awaitable<CommandExit> ServerStateCommand::run(CommandContext &context, std::vector<std::string> operands)
{
    const std::size_t slash = operands.size() == 1 ? operands[0].find('/') : std::string::npos;
    if (slash == std::string::npos) {
        co_return reportUsage(context, name(), "requires the name of one server as POOL/SERVER");
    }
    const std::string pool = operands[0].substr(0, slash);
    const std::string server = operands[0].substr(slash + 1);
    ConfigLoader loader(*context.platform, context.clock, context.timer, context.random);
    Publisher publisher(*context.platform, context.clock, context.timer, context.random);
    const std::string changeId = chooseChangeId(context);
    ApplyOutcome outcome;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const auto current = co_await loader.readCurrent(context.deadline);
        if (!current) {
            co_return reportError(context, current.error());
        }
        auto set = withServerState(*current->set, pool, server, m_state);
        if (!set) {
            co_return reportError(context, set.error());
        }
        ApplyRequest request;
        request.set = std::move(*set);
        request.expectedGeneration = current->head.generation;
        request.changeId = changeId;
        request.author = context.options.author;
        request.deadline = context.deadline;
        outcome = co_await publisher.apply(std::move(request));
        if (outcome.status != ApplyStatus::Conflict) {
            break;
        }
    }
    co_return co_await finishChange(context, std::move(outcome));
}

} // namespace Samphirepitch
