#pragma once

#include "health/downservers.h"
#include "health/healthreporter.h"
#include "model/configgeneration.h"
#include "peer/generationsource.h"
#include "peer/peerlistener.h"
#include "routing/flowexceptiontransport.h"

#include <memory>

namespace Samphirepitch
{

class ControlPlane;
class DataPath;

/** Passes generation progress, flow exceptions and states of backend servers between the data path and the control plane. */
class DataPathBridge : public ConfigListener,
                       public PeerListener,
                       public GenerationSource,
                       public FlowExceptionTransport,
                       public HealthReporter
{
public:
    /** @param dataPath must outlive this object */
    explicit DataPathBridge(DataPath &dataPath);

    /** Sets the control plane, which must outlive this object. Must be called before refresh(). */
    void setControlPlane(ControlPlane &controlPlane);

    /** Passes the deadline of the member view to the data path and changed progress to the control plane. Must be called often. */
    void refresh();

    /**
     * Passes the known states of backend servers that are new or have a new address in @p generation to the data path, which must
     * already have this configuration.
     */
    void configurationChanged(const ConfigGeneration &generation) override;

    void serverStatesChanged(const ServerStates &states) override;
    void flowExceptionsReceived(const std::string &peer, const FlowExceptionBatch &exceptions) override;
    void flowExceptionsDelivered(const std::string &peer, std::uint64_t sequence) override;
    void preparedEverywhere(std::uint64_t generation) override;

    std::uint64_t preparedGeneration() const override;
    std::uint64_t activeGeneration() const override;

    void reportServerStates(const ServerStates &states) override;
    TimePoint viewDeadline() const override;

    void sendFlowExceptions(const std::string &instance, const FlowExceptionUpdate &update) override;

private:
    void applyServerState(const ServerHealthChange &change, const BackendServer &server);

    DataPath &m_dataPath;
    ControlPlane *m_controlPlane = nullptr;
    std::shared_ptr<const ConfigSet> m_config;
    DownServers m_downServers;
    std::uint64_t m_reportedPrepared = 0;
    std::uint64_t m_reportedActive = 0;
};

} // namespace Samphirepitch
