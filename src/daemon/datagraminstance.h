#pragma once

#include "daemon/instancebase.h"
#include "daemon/responsetimerecorder.h"
#include "peer/drainhandler.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <memory>

namespace Samphirepitch
{

class ControlPlane;
class Platform;
class DataPath;
class DataPathBridge;
class HealthProber;

/** An instance for datagrams with a PROXY header: consists of a control plane, a data path and a health prober. */
class DatagramInstance : public InstanceBase, private DrainHandler
{
public:
    /**
     * Creates an instance and opens its log, sockets and platform client.
     * @param executor runs all tasks; must be single-threaded
     * @param clock must outlive the instance
     * @param settings settings of the instance
     * @return the instance, or the error of the component that could not be created
     */
    static Result<std::unique_ptr<DatagramInstance>> create(asio::any_io_executor executor, const Clock &clock, const Settings &settings);

    ~DatagramInstance() override;

private:
    DatagramInstance(asio::any_io_executor executor, const Clock &clock, const Settings &settings, std::unique_ptr<Logger> logger);

    std::vector<EventField> startFields() const override;
    bool hasConfiguration() const override;
    void beginLeaving() override;
    std::size_t pendingWork() const override;
    bool drainRequested() override;
    Result<void> createComponents();
    Result<void> createDataPath();
    Result<void> createHealthProber();
    Result<void> createControlPlane();
    void addChildren();
    asio::awaitable<Result<void>> runControlPlane();
    asio::awaitable<Result<void>> runDataPath();
    asio::awaitable<Result<void>> runBridge();

    ResponseTimeRecorder m_responseTimes;
    std::unique_ptr<Platform> m_platform;
    std::unique_ptr<DataPath> m_dataPath;
    std::unique_ptr<DataPathBridge> m_bridge;
    std::unique_ptr<HealthProber> m_healthProber;
    std::unique_ptr<ControlPlane> m_controlPlane;
};

} // namespace Samphirepitch
