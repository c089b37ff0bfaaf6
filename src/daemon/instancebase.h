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

/** What every kind of instance has: log, events, metrics, supervised tasks, reload and a graceful stop. */
class InstanceBase : public HealthSource
{
public:
    ~InstanceBase() override;
    InstanceBase(const InstanceBase &) = delete;
    InstanceBase &operator=(const InstanceBase &) = delete;

    /** Runs until a stop or a failure. @return the exit code of the process */
    asio::awaitable<DaemonExit> run();

    /** Begins a graceful stop; ends at the stop deadline at the latest. @return false if one is going on */
    bool requestStop(std::string_view reason);

    /** Applies reloadable keys and reports changes of the others by events. */
    void reload(const Settings &next);

    /** Reports settings that could not be reloaded. */
    void reportReloadFailure(const KeyFindings &findings);

    bool isServing() const override;
    std::string_view stateName() const override;

    /** Returns the address at which metrics are served; unset if there is none. */
    Endpoint metricsAddress() const;

protected:
    /** @param logger opened with these settings */
    InstanceBase(asio::any_io_executor executor, const Clock &clock, const Settings &settings, std::unique_ptr<Logger> logger);

    /** Returns what the start event says besides the version. */
    virtual std::vector<EventField> startFields() const = 0;

    /** Returns whether work can be taken now, apart from a stop. */
    virtual bool hasConfiguration() const = 0;

    /** Prepares the parts for the end, once. */
    virtual void beginLeaving() = 0;

    /** Returns the number of requests that a graceful stop waits for. */
    virtual std::size_t pendingWork() const = 0;

    /** Adds the tasks that every instance has; before the others. */
    void addCommonTasks();

    /** Starts the metrics server if the settings have an address for it. @return InputOutput if it cannot be bound */
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
