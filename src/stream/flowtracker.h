#pragma once

#include "core/clock.h"
#include "stream/streampacket.h"

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

/** What an instance knows of one flow from the client's packets; answers do not pass through it. */
struct StreamFlow {
    Endpoint client;
    Endpoint service;
    std::uint32_t token = 0; /**< of the server that the last packet went to */
    std::uint32_t acknowledged = 0; /**< the client's last acknowledgement */
    std::uint32_t nextSequence = 0; /**< number after the last byte of data that the client sent */
    bool open = false; /**< the client has sent something after its opening packet */
    bool awaitingResponse = false; /**< the client has sent data that no answer followed yet */
    bool finished = false; /**< the client sends nothing more */
    bool ended = false; /**< its client was told that the server no longer serves it */
    bool recent = true; /**< seen within the time in which flows count as load */
    TimePoint openSince {}; /**< when this instance first saw a packet of the open flow; only if it is open */
    TimePoint lastSeen {};
    TimePoint sentAt {}; /**< of the opening packet, or of the first data that is not answered yet */
    TimePoint lastSentAt {}; /**< when the oldest unanswered packet was sent last */
};

/** What one packet showed. */
struct PacketObservation {
    bool serverResponded = false; /**< the server has answered something since the packet before */
    bool retransmitted = false; /**< the client had to send the same bytes again */
    bool opened = false; /**< the first packet after the opening ones */
    std::optional<std::chrono::nanoseconds> responseTime; /**< from the first unanswered packet to this one */
};

/** Flows of a backend server that this instance sees. */
struct ServerFlowCounts {
    std::uint32_t recent = 0; /**< flows with packets lately */
    std::uint32_t awaitingResponse = 0; /**< flows with an unanswered request */
};

/**
 * The flows whose packets pass through an instance. It is a cache for load and evidence: where a flow goes is told by the
 * token in its packets, so that a lost entry breaks nothing.
 */
class FlowTracker
{
public:
    /** Flows seen within this time count as load: several requests of a long flow. After a change of the fabric's rotation most
     * flows go to other instances, where they are counted within the same time. */
    static constexpr std::chrono::seconds loadWindow { 5 };
    /** Packets that come again sooner are copies made on the way; clients repeat after 200 ms at the earliest. */
    static constexpr std::chrono::milliseconds minRetransmissionInterval { 150 };
    /** A flow that is opened sooner after another one is a second user of the client; less than a round trip to a server. */
    static constexpr std::chrono::milliseconds minUnopenedTime { 3 };
    /** An opening that is older was given up for another reason. A client waits 1,400 ms. */
    static constexpr std::chrono::milliseconds maxUnopenedTime { 1400 };
    /** An answer that takes longer than this is looked into; most requests take less than a third of it. */
    static constexpr std::chrono::milliseconds overdueThreshold { 90 };

    /** @param maxFlows bound; flows above it are forwarded without an entry */
    explicit FlowTracker(std::size_t maxFlows);

    /** Returns the flow, or nothing. */
    const StreamFlow *find(Endpoint client, Endpoint service) const;

    /** Takes an opening packet that goes to the server @p token. @return false if the table is full */
    bool recordOpening(const StreamPacket &packet, std::uint32_t token, TimePoint now);

    /**
     * Returns the server of the last flow that the same client host opened to @p packet's service, if that flow has not opened although
     * a round trip has passed. A host on which nothing listens any more resets a flow past the instances, and the client opens
     * the next one at once.
     */
    std::optional<std::uint32_t> previousUnopenedServer(const StreamPacket &packet, TimePoint now) const;

    /** Takes any later packet of the client, which goes to the server @p token. */
    PacketObservation recordPacket(const StreamPacket &packet, std::uint32_t token, TimePoint now);

    /** Forgets a flow. */
    void remove(Endpoint client, Endpoint service);

    /**
     * Ends the open flows that @p matches accepts: they no longer count as load, but are remembered, because their clients may still
     * send. @return those that were not ended before, whose clients have to be told
     */
    std::vector<StreamFlow> endMatching(const std::function<bool(const StreamFlow &)> &matches);

    /** Forgets the flows that @p matches accepts. @return those of them that are open */
    std::vector<StreamFlow> removeMatching(const std::function<bool(const StreamFlow &)> &matches);

    /** Calls @p report with the server of each answer that has become overdue. */
    void checkOverdue(TimePoint now, const std::function<void(std::uint32_t token)> &report);

    /** Forgets flows without packets for @p idleTimeout. */
    void expire(TimePoint now, std::chrono::nanoseconds idleTimeout);

    ServerFlowCounts flowCountsOf(std::uint32_t token) const;

    /** Returns the load of all servers with flows, by token. */
    const std::unordered_map<std::uint32_t, ServerFlowCounts> &flowCounts() const;

    std::size_t size() const;

private:
    using Flows = std::list<StreamFlow>;

    /** A moment at which an answer becomes overdue. */
    struct OverdueCheck {
        TimePoint due {};
        std::uint64_t key = 0;
        TimePoint sentAt {};
        bool awaitsOpening = false; /**< waits for the flow to open, and not for an answer */
    };

    /** The last flow that a client host opened to a service. */
    struct LastOpening {
        std::uint64_t flow = 0; // its key
        std::uint32_t token = 0;
        TimePoint at {};
    };

    static std::uint64_t hostKey(const StreamPacket &packet);
    StreamFlow *insert(const StreamPacket &packet, std::uint64_t key, TimePoint now);
    void touch(Flows::iterator flow, TimePoint now);
    void assignServer(StreamFlow &flow, std::uint32_t token);
    void setAwaitingResponse(StreamFlow &flow, bool awaitingResponse);
    void setRecent(StreamFlow &flow, bool recent);
    void erase(std::unordered_map<std::uint64_t, Flows::iterator>::iterator entry);
    void eraseIfUnused(std::uint32_t token);

    std::size_t m_maxFlows;
    Flows m_recent; // sorted by the time of the last packet
    Flows m_idle; // the same; these no longer count as load
    std::unordered_map<std::uint64_t, Flows::iterator> m_byKey;
    std::unordered_map<std::uint32_t, ServerFlowCounts> m_flowCounts;
    std::unordered_map<std::uint64_t, LastOpening> m_lastOpenings; // of client hosts whose flow has not opened yet
    std::queue<OverdueCheck> m_overdueChecks; // all have the same delay, so they are sorted
};

} // namespace Samphirepitch
