#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/metricsource.h"
#include "health/downservers.h"
#include "health/probedserverstate.h"
#include "health/proberesult.h"
#include "health/proberselection.h"
#include "membership/memberlistener.h"
#include "model/configgeneration.h"
#include "peer/peerlistener.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/cancellation_signal.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace Samphirepitch
{

class EventSink;
class HealthReporter;
class HybridClock;
class RandomSource;
class ServerProbe;

/**
 * Probes the health endpoints of the backend servers that ProberSelection assigns to this instance, and reports changes of their state.
 *
 * All member functions must be called on the thread of the executor. The object must live until run() has returned or the context of
 * the executor is destroyed.
 */
class HealthProber : public MetricSource, public ConfigListener, public MemberListener, public PeerListener
{
public:
    static constexpr std::chrono::milliseconds probeInterval { 2000 }; /**< time between two probes of a server, plus or minus jitter */
    static constexpr std::chrono::milliseconds jitter { 200 }; /**< keeps many instances from probing at the same time */
    static constexpr std::chrono::milliseconds probeTimeout { 1000 }; /**< time limit of one probe */
    static constexpr std::chrono::milliseconds tickInterval { 100 }; /**< time between two calls of tick() */
    static constexpr std::size_t maxConcurrentProbes = 32; /**< an instance probes about 20 servers at the planned size */

    /** The collaborators of a prober. The references must outlive it. */
    struct Dependencies {
        const Clock &clock;
        RandomSource &random;
        HybridClock &hybridClock;
        EventSink &events;
        HealthReporter &reporter;
        std::unique_ptr<ServerProbe> probe;
    };

    /**
     * @param executor executor of one thread, which runs the probes
     * @param instanceId id of this instance
     * @param failureDomain failure domain of this instance
     * @param dependencies collaborators of the prober
     * @return the prober, or an InvalidArgument error if a name is empty or there is no probe
     */
    static Result<std::unique_ptr<HealthProber>> create(
        const asio::any_io_executor &executor, std::string instanceId, std::string failureDomain, Dependencies dependencies);

    ~HealthProber() override;

    /** Runs probes until stop(). Always returns success. */
    asio::awaitable<Result<void>> run();

    /** Cancels all probes, so that run() returns. Can't be undone. */
    void stop();

    /** Applies changes of member view and configuration, and starts the probes that are due. run() calls it every tickInterval. */
    void tick(TimePoint now);

    /** Returns the number of servers that this instance probes. */
    std::size_t serverCount() const;

    /** Returns the number of probed servers that are considered down. */
    std::size_t downCount() const;

    void configurationChanged(const ConfigGeneration &generation) override;
    void memberViewChanged(std::shared_ptr<const MemberView> view) override;
    void serverStatesChanged(const ServerStates &states) override;
    void flowExceptionsReceived(const std::string &peer, const FlowExceptionBatch &exceptions) override;
    void flowExceptionsDelivered(const std::string &peer, std::uint64_t sequence) override;
    void preparedEverywhere(std::uint64_t generation) override;
    void writeMetrics(MetricWriter &writer) const override;

private:
    using ServerKey = ProberSelection::ServerKey;

    struct Target {
        ProberSelection::Assignment assignment;
        ProbedServerState state;
        TimePoint nextProbe;
        bool isProbeRunning = false;
    };

    struct RunningProbe {
        ServerKey server;
        asio::cancellation_signal signal;
        bool hasEnded = false; // the entry is removed later, because Asio may still refer to the signal when the probe ends
    };

    HealthProber(const asio::any_io_executor &executor, std::string instanceId, std::string failureDomain, Dependencies dependencies);

    void removeEndedProbes();
    void updateTargets(TimePoint now);
    Target makeTarget(ProberSelection::Assignment assignment, TimePoint now);
    void startProbe(Target &target, TimePoint now);
    asio::awaitable<void> probe(ServerKey server, Endpoint health, TimePoint deadline);
    void handleResult(const ServerKey &server, Endpoint health, ProbeResult result);
    void reportChange(const ServerKey &server, bool isUp, ProbeResult result);

    asio::any_io_executor m_executor;
    Dependencies m_dependencies;
    ProberSelection m_selection;
    std::shared_ptr<const MemberView> m_pendingView; // not applied to m_selection yet
    std::shared_ptr<const ConfigSet> m_pendingConfig; // not applied to m_selection yet
    std::map<ServerKey, Target> m_targets;
    DownServers m_reportedDown; // as reported by all probers; initial state when this instance becomes prober of a server
    std::list<RunningProbe> m_runningProbes;
    std::array<std::uint64_t, probeResultCount> m_results {};
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_probeEndedTimer; // cancelled when a probe ends
    bool m_stopped = false;
};

} // namespace Samphirepitch
