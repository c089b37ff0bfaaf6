#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/eventsink.h"
#include "core/metricsource.h"
#include "core/random.h"
#include "stream/discoveryfollower.h"
#include "stream/peerdirectory.h"
#include "stream/peernews.h"
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
class PeerExchange : public ReadingDuty, public PeerStateSource, public MetricSource
{
public:
    /** What the exchange needs; everything outlives it. */
    struct Parts {
        const Clock &clock;
        RandomSource &random;
        EventSink &events;
        StreamRouter &router;
    };

    /** Where the exchange stands among the instances. */
    struct Place {
        std::string deployment; /**< instances of other deployments are refused */
        Endpoint local; /**< to bind; others may know the instance by another address */
        std::vector<Endpoint> seeds; /**< addresses of instances that may run */
    };

    /** An instance without news of the reader for this long passes over it: a call that waits 1 s, a late answer and a push. */
    static constexpr std::chrono::milliseconds distrustAfter { 1500 };
    /** An instance whose view was not confirmed for this long reads the store itself; below the 3 s in which changes must hold. */
    static constexpr std::chrono::milliseconds readAfter { 1900 };

    /**
     * Binds the UDP socket and the TCP listener.
     * @param self what others are told, with the address at which they reach this instance
     * @return the exchange, or InputOutput if the address cannot be bound
     */
    static Result<std::unique_ptr<PeerExchange>> create(asio::any_io_executor executor, Parts parts, Place place, PeerRecord self);

    /** Pulls the state of the seeds, then gossips until it is cancelled. */
    asio::awaitable<Result<void>> gossip();

    /** Takes news until it is cancelled. */
    asio::awaitable<Result<void>> receiveNews();

    /** Hands out states until it is cancelled. */
    asio::awaitable<Result<void>> serveStates();

    bool followsStore() const override;
    bool mustRead(TimePoint confirmed) const override;
    std::size_t readers() const override;
    void serversRead(std::uint64_t from, const ServerUpdates &updates) override;
    void configurationRead() override;
    void storeReachable(bool reachable) override;

    PeerState stateFor(const PeerNews &request) override;
    void refuse(std::string_view event, const std::string &peer, const Error &error) override;

    const PeerDirectory &directory() const;

    void writeMetrics(MetricWriter &writer) const override;

private:
    PeerExchange(asio::any_io_executor executor, Parts parts, Place place, PeerRecord self);

    Result<void> bind();
    void take(const PeerNews &news);
    bool takeView(const PeerNews &news);
    bool merge(const PeerRecord &record);
    PeerNews makeNews() const;
    void send(const PeerNews &news, Endpoint to);
    void push(std::uint64_t from, const std::vector<ServerUpdate> &changes);
    void confirmDownwards();
    void sendGossip();
    void sendEnded();
    void watchReader();
    void startPull(Endpoint peer);
    asio::awaitable<void> pull(Endpoint peer);
    void takeServers(const PeerState &state, std::uint64_t known);
    PeerState makeState(const ViewMark &known) const;

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    RandomSource &m_random;
    EventSink &m_events;
    StreamRouter &m_router;
    Place m_place;
    PeerDirectory m_directory;
    asio::ip::udp::socket m_socket;
    PeerStateTransfer m_states;
    std::set<Endpoint> m_pulls; // that run
    std::size_t m_joins = 0; // pulls from seeds that have not ended
    TimePoint m_joinDeadline {};
    TimePoint m_nextBeat {};
    TimePoint m_lastPush {};
    TimePoint m_nextDistrust {};
    bool m_wasReader = false;
    std::uint64_t m_newsSent = 0;
    std::uint64_t m_newsReceived = 0;
    std::uint64_t m_newsRefused = 0;
    std::uint64_t m_pullCount = 0;
    std::uint64_t m_failedPulls = 0;
};

} // namespace Samphirepitch
