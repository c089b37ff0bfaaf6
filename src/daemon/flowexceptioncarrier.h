#pragma once

#include "core/clock.h"
#include "peer/peerlistener.h"
#include "routing/exceptiontransport.h"

namespace Samphirepitch
{

class ControlPlane;
class DataPath;

/** Carries flow exceptions between the routers of instances over the links of the control plane, and the go-ahead for new placements. */
class FlowExceptionCarrier : public ExceptionTransport, public PeerListener
{
public:
    /** @param clock must outlive the carrier, as @p dataPath */
    FlowExceptionCarrier(const Clock &clock, DataPath &dataPath);

    /** Sets the control plane, which is created after the carrier; it must not be used after it is destroyed. */
    void setControlPlane(ControlPlane *controlPlane);

    void sendExceptions(const std::string &instance, const ExceptionBatch &batch) override;

    void serverStatesChanged(const ServerStates &states) override;
    void flowExceptionsReceived(const std::string &peer, const FlowExceptionBatch &exceptions) override;
    void flowExceptionsDelivered(const std::string &peer, std::uint64_t sequence) override;
    void preparedEverywhere(std::uint64_t generation) override;

private:
    const Clock &m_clock;
    DataPath &m_dataPath;
    ControlPlane *m_controlPlane = nullptr;
};

} // namespace Samphirepitch
