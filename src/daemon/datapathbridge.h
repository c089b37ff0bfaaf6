#pragma once

#include "health/downservers.h"
#include "health/healthreporter.h"
#include "model/configgeneration.h"
#include "peer/generationsource.h"
#include "peer/peerlistener.h"
#include "routing/exceptiontransport.h"

#include <memory>

namespace Samphirepitch
{

class ControlPlane;
class DataPath;

/** Connects the data path with the control plane: progress of a change, flow exceptions and states of backend servers. */
class DataPathBridge : public ConfigListener, public PeerListener, public GenerationSource, public ExceptionTransport, public HealthReporter
{
public:
    /** @param dataPath has to outlive the bridge */
    explicit DataPathBridge(DataPath &dataPath);

    /** Sets what sends to peers; it has to outlive the bridge. */
    void setControlPlane(ControlPlane &controlPlane);

    /** Gives the data path the deadline of the member view, and the peers the progress if it changed; to be called often. */
    void refresh();

    /** Gives the data path, which has to have the configuration by now, the states of servers that are new in it. */
    void configurationChanged(const ConfigGeneration &generation) override;

    void serverStatesChanged(const ServerStates &states) override;
    void flowExceptionsReceived(const std::string &peer, const FlowExceptionBatch &exceptions) override;
    void flowExceptionsDelivered(const std::string &peer, std::uint64_t sequence) override;
    void preparedEverywhere(std::uint64_t generation) override;

    std::uint64_t preparedGeneration() const override;
    std::uint64_t activeGeneration() const override;

    void reportServerStates(const ServerStates &states) override;
    TimePoint viewDeadline() const override;

    void sendExceptions(const std::string &instance, const ExceptionBatch &batch) override;

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
