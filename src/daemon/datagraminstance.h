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

/** An instance for datagrams with a PROXY header: creates its parts, runs them under a supervisor, and stops them gracefully. */
class DatagramInstance : public InstanceBase, private DrainHandler
{
public:
    /**
     * Opens the log, the sockets and the platform client.
     * @param executor runs everything; of one thread
     * @param clock has to outlive the instance
     * @return the instance, or the error of the part that could not be created
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
