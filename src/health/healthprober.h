#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/metricsource.h"
#include "health/downservers.h"
#include "health/proberesult.h"
#include "health/proberselection.h"
#include "health/probeverdict.h"
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
 * Probes the health endpoints of the backend servers that ProberSelection gives to this instance, and reports changes of state.
 *
 * All calls are made on the executor's thread. The object must live until run() has ended or the executor's context is destroyed.
 */
class HealthProber : public MetricSource, public ConfigListener, public MemberListener, public PeerListener
{
public:
    static constexpr std::chrono::milliseconds interval { 2000 }; /**< between two probes of a server, give or take jitter */
    static constexpr std::chrono::milliseconds jitter { 200 }; /**< keeps the probes of many instances from falling together */
    static constexpr std::chrono::milliseconds probeTimeout { 1000 };
    static constexpr std::chrono::milliseconds tickInterval { 100 }; /**< between two looks for servers that are due */
    static constexpr std::size_t maxProbes = 32; /**< at the same time; an instance has about 20 servers at the planned size */

    /** What the prober needs; the references outlive it. */
    struct Parts {
        const Clock &clock;
        RandomSource &random;
        HybridClock &hybridClock;
        EventSink &events;
        HealthReporter &reporter;
        std::unique_ptr<ServerProbe> probe;
    };

    /**
     * @param executor runs the probes; of one thread
     * @param instanceId id of this instance
     * @param failureDomain failure domain of this instance
     * @return the prober, or InvalidArgument if a name is empty or there is no probe
     */
    static Result<std::unique_ptr<HealthProber>> create(
        const asio::any_io_executor &executor, std::string instanceId, std::string failureDomain, Parts parts);

    ~HealthProber() override;

    /** Probes until stop(). */
    asio::awaitable<Result<void>> run();

    /** Cancels all probes; run() returns. Final. */
    void stop();

    /** Takes over changes of the view and the configuration and starts the probes that are due; run() calls it at each tick. */
    void step(TimePoint now);

    /** Number of servers that this instance probes. */
    std::size_t serverCount() const;

    /** Number of probed servers that are held for down. */
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
        ProbeVerdict verdict;
        TimePoint nextProbe;
        bool isRunning = false;
    };

    struct Running {
        ServerKey server;
        asio::cancellation_signal signal;
        bool hasEnded = false; // removed later, as Asio may still refer to the signal when the probe ends
    };

    HealthProber(const asio::any_io_executor &executor, std::string instanceId, std::string failureDomain, Parts parts);

    void removeEnded();
    void updateTargets(TimePoint now);
    Target makeTarget(ProberSelection::Assignment assignment, TimePoint now);
    void start(Target &target, TimePoint now);
    asio::awaitable<void> probe(ServerKey server, Endpoint health, TimePoint deadline);
    void finished(const ServerKey &server, Endpoint health, ProbeResult result);
    void report(const ServerKey &server, bool isUp, ProbeResult result);

    asio::any_io_executor m_executor;
    Parts m_parts;
    ProberSelection m_selection;
    std::shared_ptr<const MemberView> m_newView; // not yet taken by the selection
    std::shared_ptr<const ConfigSet> m_newConfig;
    std::map<ServerKey, Target> m_targets;
    DownServers m_spreadDown; // by all probers; a new prober of a server starts with this
    std::list<Running> m_running;
    std::array<std::uint64_t, probeResultCount> m_results {};
    asio::steady_timer m_tick;
    asio::steady_timer m_probeEnded; // cancelled when a probe ends
    bool m_stopped = false;
};

} // namespace Samphirepitch
