#pragma once

#include "core/clock.h"
#include "core/hybridclock.h"
#include "core/random.h"
#include "daemon/daemonexit.h"
#include "daemon/eventlog.h"
#include "daemon/gracefulstop.h"
#include "daemon/healthsource.h"
#include "daemon/logger.h"
#include "daemon/loopmonitor.h"
#include "daemon/metrics.h"
#include "daemon/metricsserver.h"
#include "daemon/settings.h"
#include "daemon/supervisor.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <memory>

namespace Samphirepitch
{

/** Base class of all kinds of instances: log, events, metrics, supervised tasks, reload of settings and graceful stop. */
class InstanceBase : public HealthSource
{
public:
    ~InstanceBase() override;
    InstanceBase(const InstanceBase &) = delete;
    InstanceBase &operator=(const InstanceBase &) = delete;

    /** Runs the instance until it stops or fails. @return the exit code of the process */
    asio::awaitable<DaemonExit> run();

    /**
     * Begins a graceful stop, which ends at the stop deadline at the latest.
     * @param reason reason for the stop_begun event
     * @return false if a graceful stop is already in progress
     */
    bool requestStop(std::string_view reason);

    /** Applies the changed reloadable keys of @p next. Records an event for each changed key, also if it is not reloadable. */
    void reload(const Settings &next);

    /** Records an event for each finding that prevented a reload of the settings. */
    void reportReloadFailure(const KeyFindings &findings);

    bool isServing() const override;
    std::string_view stateName() const override;

    /** Returns the address of the metrics server; unset if there is none. */
    Endpoint metricsAddress() const;

protected:
    /**
     * @param executor runs all tasks; must be single-threaded
     * @param clock must outlive the instance
     * @param settings settings of the instance
     * @param logger opened with the log settings of @p settings
     */
    InstanceBase(asio::any_io_executor executor, const Clock &clock, const Settings &settings, std::unique_ptr<Logger> logger);

    /** Returns fields that the start event has in addition to deployment, failure domain and version. */
    virtual std::vector<EventField> startFields() const = 0;

    /** Returns whether the instance has what it needs to accept work. Must not consider a graceful stop in progress. */
    virtual bool hasConfiguration() const = 0;

    /** Prepares the components for the end of the process. Called once, when a graceful stop begins. */
    virtual void beginLeaving() = 0;

    /** Returns the number of requests that a graceful stop waits for. */
    virtual std::size_t pendingWork() const = 0;

    /** Adds the tasks that all kinds of instances have; must be called before other tasks are added. */
    void addCommonTasks();

    /** Starts the metrics server on the addresses that the settings have for it. @return InputOutput if an address cannot be bound */
    Result<void> listenForMetrics();

    bool isLeaving() const;

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    Settings m_settings;
    std::unique_ptr<Logger> m_logger;
    HybridClock m_hybrid;
    EventLog m_events;
    SeededRandom m_random;
    Metrics m_metrics;
    LoopMonitor m_monitor;
    MetricsServer m_metricsServer;
    Supervisor m_supervisor;

private:
    asio::awaitable<Result<void>> runHousekeeping();
    asio::awaitable<void> finishPendingWork(GracefulStop plan);
    DaemonExit recordExit(const Result<void> &result);

    bool m_leaving = false;
    bool m_deadlinePassed = false;
};

} // namespace Samphirepitch
