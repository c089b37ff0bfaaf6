#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/eventsink.h"
#include "core/metricsource.h"
#include "core/random.h"
#include "stream/discoverywatcher.h"
#include "stream/gossipcodec.h"
#include "stream/peerdirectory.h"
#include "stream/peerstatetransfer.h"

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

class StreamRouter;

/**
 * Keeps instances up to date from each other, so that one of them reads the store for all. News travel as datagrams: down a tree
 * from the reader, and by gossip that repairs what was lost. An instance that finds itself behind pulls a whole state
 * over a connection, as does one that starts; thus an instance serves within a round trip, also while the store is away.
 */
class PeerSynchronizer : public StoreReadCoordinator, public PeerStateSource, public MetricSource
{
public:
    /** What the exchange needs; everything outlives it. */
    struct Dependencies {
        const Clock &clock;
        RandomSource &random;
        EventSink &events;
        StreamRouter &router;
    };

    /** Where the exchange stands among the instances. */
    struct NetworkOptions {
        std::string deployment; /**< instances of other deployments are refused */
        Endpoint bindAddress; /**< to bind; others may know the instance by another address */
        std::vector<Endpoint> seeds; /**< addresses of instances that may run */
    };

    /** An instance without news of the reader for this long passes over it: a call that waits 1 s, a late answer and a push. */
    static constexpr std::chrono::milliseconds readerTimeout { 1500 };
    /** An instance whose view was not confirmed for this long reads the store itself; below the 3 s in which changes must hold. */
    static constexpr std::chrono::milliseconds directReadAfter { 1900 };

    /**
     * Binds the UDP socket and the TCP listener.
     * @param self what others are told, with the address at which they reach this instance
     * @return the exchange, or InputOutput if the address cannot be bound
     */
    static Result<std::unique_ptr<PeerSynchronizer>> create(
        asio::any_io_executor executor, Dependencies dependencies, NetworkOptions network, PeerRecord self);

    /** Pulls the state of the seeds, then gossips until it is cancelled. */
    asio::awaitable<Result<void>> runGossip();

    /** Takes news until it is cancelled. */
    asio::awaitable<Result<void>> receiveMessages();

    /** Hands out states until it is cancelled. */
    asio::awaitable<Result<void>> serveStates();

    bool watchesStore() const override;
    bool mustRead(TimePoint lastConfirmed) const override;
    std::size_t retryingInstances() const override;
    void publishServerUpdates(std::uint64_t from, const ServerUpdates &updates) override;
    void publishConfiguration() override;
    void setStoreReachable(bool reachable) override;

    PeerState stateFor(const GossipMessage &request) override;
    void reportFailure(std::string_view event, const std::string &peer, const Error &error) override;

    const PeerDirectory &directory() const;

    void writeMetrics(MetricWriter &writer) const override;

private:
    PeerSynchronizer(asio::any_io_executor executor, Dependencies dependencies, NetworkOptions network, PeerRecord self);

    Result<void> bind();
    void apply(const GossipMessage &message);
    bool applyView(const GossipMessage &message);
    bool merge(const PeerRecord &record);
    GossipMessage makeMessage() const;
    void send(const GossipMessage &message, Endpoint to);
    void push(std::uint64_t from, const std::vector<ServerUpdate> &changes);
    void pushConfirmation();
    void sendGossip();
    void sendEndedServers();
    void checkReader();
    void startPull(Endpoint peer);
    asio::awaitable<void> pull(Endpoint peer);
    void applyServers(const PeerState &state, std::uint64_t known);
    PeerState makeState(const ViewStatus &known) const;

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    RandomSource &m_random;
    EventSink &m_events;
    StreamRouter &m_router;
    NetworkOptions m_network;
    PeerDirectory m_directory;
    asio::ip::udp::socket m_socket;
    PeerStateTransfer m_stateTransfer;
    std::set<Endpoint> m_activePulls; // that run
    std::size_t m_pendingSeedPulls = 0; // pulls from seeds that have not ended
    TimePoint m_seedPullDeadline {};
    TimePoint m_nextGossip {};
    TimePoint m_lastPush {};
    TimePoint m_nextReaderCheck {};
    bool m_wasReader = false;
    std::uint64_t m_messagesSent = 0;
    std::uint64_t m_messagesReceived = 0;
    std::uint64_t m_messagesRefused = 0;
    std::uint64_t m_pullCount = 0;
    std::uint64_t m_failedPulls = 0;
};

} // namespace Samphirepitch
