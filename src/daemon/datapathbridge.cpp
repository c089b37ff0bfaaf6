#include "daemon/datapathbridge.h"

#include "data/datapath.h"
#include "peer/controlplane.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

const BackendServer *findServer(const ConfigSet &config, const ServerHealthChange &change)
{
    const BackendPool *pool = config.pool(change.pool);
    if (!pool) {
        return nullptr;
    }
    const auto &servers = pool->servers();
    const auto found
        = std::find_if(servers.begin(), servers.end(), [&](const BackendServer &server) { return server.name() == change.server; });
    return found == servers.end() ? nullptr : &*found;
}

} // namespace

DataPathBridge::DataPathBridge(DataPath &dataPath)
    : m_dataPath(dataPath)
{
}

void DataPathBridge::setControlPlane(ControlPlane &controlPlane)
{
    m_controlPlane = &controlPlane;
}

void DataPathBridge::refresh()
{
    m_dataPath.setViewDeadline(m_controlPlane->viewDeadline());
    if (m_reportedPrepared != preparedGeneration() || m_reportedActive != activeGeneration()) {
        m_reportedPrepared = preparedGeneration();
        m_reportedActive = activeGeneration();
        m_controlPlane->progressChanged();
    }
}

void DataPathBridge::configurationChanged(const ConfigGeneration &generation)
{
    const std::shared_ptr<const ConfigSet> previousConfig = std::exchange(m_config, generation.set);
    // Peers report down servers as soon as they are linked, which can be before this instance has its first configuration.
    for (const ServerHealthChange &change : m_downServers.lastChanges().states) {
        const BackendServer *server = findServer(*m_config, change);
        const BackendServer *previousServer = previousConfig ? findServer(*previousConfig, change) : nullptr;
        if (server && (!previousServer || previousServer->address() != server->address())) {
            applyServerState(change, *server);
        }
    }
}

void DataPathBridge::serverStatesChanged(const ServerStates &states)
{
    for (const ServerHealthChange &change : states.states) {
        m_downServers.update(change);
        if (const BackendServer *server = m_config ? findServer(*m_config, change) : nullptr) {
            applyServerState(change, *server);
        }
    }
}

void DataPathBridge::applyServerState(const ServerHealthChange &change, const BackendServer &server)
{
    m_dataPath.serverStateReported(server.address(), change.healthy, WallTime(std::chrono::milliseconds(change.at.wallMs)));
}

void DataPathBridge::flowExceptionsReceived(const std::string &, const FlowExceptionBatch &exceptions)
{
    m_dataPath.flowExceptionsReceived(
        { exceptions.sequence, exceptions.service, exceptions.generation, exceptions.server, exceptions.failureDomain, exceptions.keys });
}

void DataPathBridge::flowExceptionsDelivered(const std::string &peer, std::uint64_t sequence)
{
    m_dataPath.flowExceptionsDelivered(peer, sequence);
}

void DataPathBridge::preparedEverywhere(std::uint64_t generation)
{
    m_dataPath.activate(generation);
}

std::uint64_t DataPathBridge::preparedGeneration() const
{
    return m_dataPath.preparedGeneration();
}

std::uint64_t DataPathBridge::activeGeneration() const
{
    return m_dataPath.heldGeneration();
}

void DataPathBridge::reportServerStates(const ServerStates &states)
{
    // The data path treats these like states reported by peers, so its observations of its own flows take precedence.
    serverStatesChanged(states);
    m_controlPlane->broadcastServerStates(states);
}

TimePoint DataPathBridge::viewDeadline() const
{
    return m_controlPlane->viewDeadline();
}

void DataPathBridge::sendFlowExceptions(const std::string &instance, const FlowExceptionUpdate &update)
{
    FlowExceptionBatch message;
    message.service = update.service;
    message.generation = update.generation;
    message.keys = update.keys;
    message.server = update.server;
    message.failureDomain = update.failureDomain;
    message.sequence = update.sequence;
    if (m_controlPlane) {
        // Nothing is sent to an instance that is no longer a member; the router learns of its removal from the member view.
        m_controlPlane->sendFlowExceptions(instance, std::move(message));
    }
}

} // namespace Samphirepitch
