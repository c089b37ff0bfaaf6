#pragma once

#include "core/clock.h"
#include "core/hybridclock.h"
#include "core/random.h"
#include "daemon/answerlatency.h"
#include "daemon/daemonexit.h"
#include "daemon/eventlog.h"
#include "daemon/healthsource.h"
#include "daemon/logger.h"
#include "daemon/loopmonitor.h"
#include "daemon/metrics.h"
#include "daemon/metricsserver.h"
#include "daemon/settings.h"
#include "daemon/stopplan.h"
#include "daemon/supervisor.h"
#include "peer/drainhandler.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace Samphirepitch
{

class ControlPlane;
class Platform;
class DataPath;
class DataPathBridge;
class HealthProber;

/** One instance: creates its parts, runs them under a supervisor, and stops them gracefully. */
class Instance : public HealthSource, private DrainHandler
{
public:
    /**
     * Opens the log, the sockets and the platform client.
     * @param executor runs everything; of one thread
     * @param clock has to outlive the instance
     * @return the instance, or the error of the part that could not be created
     */
    static Result<std::unique_ptr<Instance>> create(asio::any_io_executor executor, const Clock &clock, const Settings &settings);

    ~Instance() override;

    /** Runs until a stop or a failure. @return the exit code of the process */
    asio::awaitable<DaemonExit> run();

    /** Begins a graceful stop; ends at the stop deadline at the latest. @return false if one is going on */
    bool requestStop(std::string_view reason);

    /** Applies reloadable keys and reports changes of the others by events. */
    void reload(const Settings &next);

    /** Reports settings that could not be reloaded. */
    void reloadFailed(const KeyFindings &findings);

    bool isServing() const override;
    std::string_view stateName() const override;

    /** Returns the address at which metrics are served; unset if there is none. */
    Endpoint metricsAddress() const;

private:
    Instance(asio::any_io_executor executor, const Clock &clock, const Settings &settings, std::unique_ptr<Logger> logger);

    bool drainRequested() override;
    Result<void> createParts();
    Result<void> createDataPath();
    Result<void> createHealthProber();
    Result<void> createControlPlane();
    void addChildren();
    std::size_t pendingWork() const;
    asio::awaitable<Result<void>> runControlPlane();
    asio::awaitable<Result<void>> runDataPath();
    asio::awaitable<Result<void>> runBridge();
    asio::awaitable<Result<void>> runHousekeeping();
    asio::awaitable<void> finishWork(StopPlan plan);
    DaemonExit exitOf(const Result<void> &result);

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    Settings m_settings;
    std::unique_ptr<Logger> m_logger;
    HybridClock m_hybrid;
    EventLog m_events;
    SeededRandom m_random;
    Metrics m_metrics;
    LoopMonitor m_monitor;
    AnswerLatency m_answerLatency;
    MetricsServer m_metricsServer;
    Supervisor m_supervisor;
    std::unique_ptr<Platform> m_platform;
    std::unique_ptr<DataPath> m_dataPath;
    std::unique_ptr<DataPathBridge> m_bridge;
    std::unique_ptr<HealthProber> m_healthProber;
    std::unique_ptr<ControlPlane> m_controlPlane;
    bool m_leaving = false;
    bool m_late = false;
};

} // namespace Samphirepitch
