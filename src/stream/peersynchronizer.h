#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/eventsink.h"
#include "core/metricsource.h"
#include "core/random.h"
#include "stream/discoverywatcher.h"
#include "stream/gossipcodec.h"
#include "stream/peercounters.h"
#include "stream/peerdirectory.h"
#include "stream/peerroster.h"
#include "stream/peerstatetransfer.h"
#include "stream/peerviewmerger.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Samphirepitch
{

class LoadExchange;
class StreamRouter;

/**
 * Synchronizes the servers, the configuration and the evacuations between instances, so that one of them, the reader, reads the store for
 * all. The reader pushes changes as datagrams along a tree of instances, and gossip repairs what was lost. An instance that detects that it
 * is out of date pulls the missing state over a connection. A starting instance does the same, so that it can serve after one round trip,
 * even during an outage of the store.
 */
class PeerSynchronizer : public StoreReadCoordinator, public PeerStateSource, public MetricSource
{
public:
    /** The objects that the synchronizer uses; all of them must outlive it. */
    struct Dependencies {
        const Clock &clock;
        RandomSource &random;
        EventSink &events;
        StreamRouter &router;
        LoadExchange *loads = nullptr; /**< null if no load reports are exchanged */
    };

    /** The deployment and the addresses of this instance and its first peers. */
    struct NetworkOptions {
        std::string deployment; /**< messages of other deployments are rejected */
        Endpoint bindAddress; /**< for UDP and TCP; may differ from the address at which other instances reach this one */
        std::vector<Endpoint> seeds; /**< addresses of instances to contact first; they need not run */
    };

    /**
     * If the view was not confirmed for this long, an instance considers the reader dead. The time covers a long poll of 1 s, a delayed
     * response and a push.
     */
    static constexpr std::chrono::milliseconds readerTimeout { 1500 };
    /**
     * If the view was not confirmed for this long, an instance reads the store itself. The time is below the 3 s within which a change
     * must take effect.
     */
    static constexpr std::chrono::milliseconds directReadAfter { 1900 };
    /** As directReadAfter, for the evacuations: above the 4.6 s that a long poll of the reader may take, and the push after it. */
    static constexpr std::chrono::milliseconds evacuationsDirectReadAfter { 6000 };

    /**
     * Creates a synchronizer and binds its UDP socket and its TCP listener.
     * @param self the record of this instance, with the address at which other instances reach it
     * @return the synchronizer, or InputOutput if the address cannot be bound
     */
    static Result<std::unique_ptr<PeerSynchronizer>> create(
        asio::any_io_executor executor, Dependencies dependencies, NetworkOptions network, PeerRecord self);

    /** Starts to pull the state of the seeds, then sends gossip, reports ended servers and checks the reader until it is cancelled. */
    asio::awaitable<Result<void>> runGossip();

    /** Receives and applies messages until it is cancelled. @return InputOutput if the socket fails */
    asio::awaitable<Result<void>> receiveMessages();

    /** Sends states to the instances that request them until it is cancelled. */
    asio::awaitable<Result<void>> serveStates();

    bool watchesStore() const override;
    bool mustRead(TimePoint lastConfirmed) const override;
    bool mustReadEvacuations(TimePoint lastConfirmed) const override;
    std::size_t retryingInstances() const override;
    void publishServerUpdates(std::uint64_t from, const ServerUpdates &updates) override;
    void publishConfiguration() override;
    void publishEvacuations(bool changed) override;
    void setStoreReachable(bool reachable) override;

    PeerState stateFor(const GossipMessage &request) override;
    void reportFailure(std::string_view event, const std::string &peer, const Error &error) override;

    const PeerDirectory &directory() const
    {
        return m_directory;
    }

    const InstanceRoster &roster() const
    {
        return m_roster;
    }

    void writeMetrics(MetricWriter &writer) const override;

private:
    PeerSynchronizer(asio::any_io_executor executor, Dependencies dependencies, NetworkOptions network, PeerRecord self);

    Result<void> bind();
    void apply(const GossipMessage &message);
    bool merge(const PeerRecord &record);
    bool mustReadAfter(TimePoint lastConfirmed, std::chrono::milliseconds maxAge) const;
    GossipMessage makeMessage() const;
    GossipMessage makeGossip();
    void send(const GossipMessage &message, Endpoint to);
    void push(std::uint64_t from, const std::vector<ServerUpdate> &changes);
    void pushConfirmation();
    void sendGossip();
    void sendEndedServers();
    void checkReader();
    void startPull(Endpoint peer);
    asio::awaitable<void> pull(Endpoint peer);
    PeerState makeState(const ViewStatus &known) const;

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    RandomSource &m_random;
    EventSink &m_events;
    StreamRouter &m_router;
    LoadExchange *m_loads;
    NetworkOptions m_network;
    PeerDirectory m_directory;
    PeerViewMerger m_views;
    PeerRoster m_roster;
    asio::ip::udp::socket m_socket;
    PeerStateTransfer m_stateTransfer;
    std::set<Endpoint> m_activePulls; // peers from which a pull is running
    TimePoint m_nextPull {}; // from then on, a pull may start although another one is running
    std::size_t m_pendingSeedPulls = 0; // number of pulls from seeds that have not finished
    TimePoint m_seedPullDeadline {}; // until then, running pulls from seeds delay reads of the store
    TimePoint m_nextGossip {};
    TimePoint m_lastPush {};
    TimePoint m_nextReaderCheck {};
    bool m_wasReader = false;
    PeerCounters m_counters;
};

} // namespace Samphirepitch
