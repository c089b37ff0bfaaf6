#include "daemon/flowexceptioncarrier.h"

#include "data/datapath.h"
#include "data/packetengine.h"
#include "peer/controlplane.h"

namespace Samphirepitch
{

FlowExceptionCarrier::FlowExceptionCarrier(const Clock &clock, DataPath &dataPath)
    : m_clock(clock)
    , m_dataPath(dataPath)
{
}

void FlowExceptionCarrier::setControlPlane(ControlPlane *controlPlane)
{
    m_controlPlane = controlPlane;
}

void FlowExceptionCarrier::sendExceptions(const std::string &instance, const ExceptionBatch &batch)
{
    if (!m_controlPlane) {
        return;
    }
    // A batch that can't be sent stays undelivered: the router drops it when the receiver leaves the view.
    m_controlPlane->sendFlowExceptions(
        instance, { batch.service, batch.generation, batch.keys, batch.server, batch.failureDomain, batch.sequence });
}

void FlowExceptionCarrier::serverStatesChanged(const ServerStates &)
{
}

void FlowExceptionCarrier::flowExceptionsReceived(const std::string &, const FlowExceptionBatch &exceptions)
{
    m_dataPath.engine().router().exceptionsReceived(
        { exceptions.sequence, exceptions.service, exceptions.generation, exceptions.server, exceptions.failureDomain, exceptions.keys },
        m_clock.now());
}

void FlowExceptionCarrier::flowExceptionsDelivered(const std::string &peer, std::uint64_t sequence)
{
    m_dataPath.engine().router().exceptionsDelivered(peer, sequence);
    if (m_controlPlane) {
        m_controlPlane->progressChanged();
    }
}

void FlowExceptionCarrier::preparedEverywhere(std::uint64_t generation)
{
    m_dataPath.engine().router().activate(generation);
    if (m_controlPlane) {
        m_controlPlane->progressChanged();
    }
}

} // namespace Samphirepitch
