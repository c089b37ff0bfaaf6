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

/** The state of one flow as seen in the packets of its client. Responses of the server don't pass through the instance. */
struct StreamFlow {
    Endpoint client;
    Endpoint service;
    std::uint32_t token = 0; /**< token of the server that the last packet was sent to */
    std::uint32_t acknowledged = 0; /**< the highest acknowledgement number of the client */
    std::uint32_t nextSequence = 0; /**< the sequence number after the last byte that the client sent */
    std::uint32_t openingSequence = 0; /**< of the opening packet; valid only if this instance has seen that */
    bool openingSeen = false; /**< whether this instance has seen the opening packet */
    bool open = false; /**< whether the client has sent a packet after its opening packet; stays set when the flow is closed */
    bool awaitingResponse = false; /**< whether the client has sent data and no response is acknowledged yet */
    bool finished = false; /**< whether the client has sent its last data, or endMatching() has ended the flow */
    bool ended = false; /**< whether endMatching() has returned the flow so that its client is reset */
    bool recent = true; /**< whether the flow counts as load; see FlowTracker::loadWindow */
    TimePoint openSince {}; /**< when this instance first saw a packet of the open flow; valid only if it is open */
    TimePoint lastSeen {};
    TimePoint sentAt {}; /**< when the opening packet, or the first data without a response, was sent */
    TimePoint lastSentAt {}; /**< when an opening packet, new data or a retransmission was last sent */
};

/** What one packet of a client shows about its server. */
struct PacketObservation {
    bool serverResponded = false; /**< whether the packet acknowledges new data of the server */
    bool retransmitted = false; /**< whether the client sends data again that it has sent before */
    bool opened = false; /**< whether the packet is the first one after the opening packets */
    std::optional<std::chrono::nanoseconds> responseTime; /**< time from the request to this acknowledgement, if a request was pending */
};

/** Numbers of flows of one backend server that pass through this instance. */
struct ServerFlowCounts {
    std::uint32_t recent = 0; /**< flows that count as load; see FlowTracker::loadWindow */
    std::uint32_t awaitingResponse = 0; /**< flows with a request that has no response yet */
};

/**
 * Tracks the flows whose packets pass through an instance, for load figures and failure detection. Losing an entry breaks no flow,
 * because the token in each packet names the flow's server.
 */
class FlowTracker
{
public:
    /**
     * Flows with a packet within this time count as load. A long flow sends several requests in it. After the fabric has changed its
     * rotation, most flows arrive at other instances, which count them within the same time.
     */
    static constexpr std::chrono::seconds loadWindow { 5 };
    /** Repeated data that arrives sooner was duplicated by the network: clients retransmit after 200 ms at the earliest. */
    static constexpr std::chrono::milliseconds minRetransmissionInterval { 150 };
    /** Flows that a client host opens within this time belong to different users of the host: it is less than a round trip to a server. */
    static constexpr std::chrono::milliseconds minUnopenedTime { 3 };
    /** A client waits 1,400 ms for a flow to open. An unopened flow that is older was given up for a reason other than its server. */
    static constexpr std::chrono::milliseconds maxUnopenedTime { 1400 };
    /**
     * The network delivers copies of an opening packet within this time after the last one was sent. An opening packet that comes later is
     * that of another flow from the same port.
     */
    static constexpr std::chrono::milliseconds maxPacketDelay { 2000 };
    /**
     * Both ends retransmit what is not acknowledged at least this often. A flow whose client has sent its last data and then nothing for
     * this long is closed by both ends, or its client only waits for the response, until its own time limit.
     */
    static constexpr std::chrono::milliseconds maxRetransmissionInterval { 1600 };
    /** If a response takes longer than this, its server is probed. Most requests take less than a third of it. */
    static constexpr std::chrono::milliseconds overdueThreshold { 90 };

    /** @param maxFlows the largest number of tracked flows; packets of further flows are forwarded without an entry */
    explicit FlowTracker(std::size_t maxFlows);

    /** Returns the flow, or null if it isn't tracked. */
    const StreamFlow *find(Endpoint client, Endpoint service) const;

    /**
     * Returns whether an opening packet may belong to a tracked flow, as a retransmission or as a copy that the network has delayed. If it
     * doesn't, the client has closed or given up that flow and opens another one from the same port. Packets of the client that went
     * through other instances may have closed the flow, so an entry that looks open doesn't show that it is.
     */
    static bool mayOpen(const StreamPacket &packet, const StreamFlow &flow, TimePoint now);

    /**
     * Returns whether a packet that is not an opening packet belongs to a later flow from the same port than the tracked one, whose opening
     * packet went through another instance.
     * @param token the server that the packet is sent to
     */
    static bool isOfLaterFlow(const StreamPacket &packet, std::uint32_t token, const StreamFlow &flow);

    /** Returns whether the numbers of a packet that is not an opening packet are too far from those of an open flow to belong to it. */
    static bool hasOtherNumbers(const StreamPacket &packet, const StreamFlow &flow);

    /**
     * Returns whether a packet that is not an opening packet begins a request: it contains new data and no request of its flow is waiting
     * for a response. A packet of a flow that isn't tracked begins one if it has data.
     * @param token the server that the packet is sent to
     */
    bool beginsRequest(const StreamPacket &packet, std::uint32_t token) const;

    /**
     * Records an opening packet.
     * @param token the server that the packet is sent to
     * @return false if the table is full
     */
    bool recordOpening(const StreamPacket &packet, std::uint32_t token, TimePoint now);

    /**
     * Returns the server of the last flow that the same client host tried to open to the service of a packet, from any port, if a round
     * trip has passed and that flow is still not open. The host of a server that has crashed sends its reset directly to the client,
     * without passing an instance, and the client opens the next flow at once.
     * @param packet the opening packet of the next flow
     * @return the token of the server, or nothing if there is no such flow
     */
    std::optional<std::uint32_t> previousUnopenedServer(const StreamPacket &packet, TimePoint now) const;

    /**
     * Records a packet of the client that is not an opening packet.
     * @param token the server that the packet is sent to
     */
    PacketObservation recordPacket(const StreamPacket &packet, std::uint32_t token, TimePoint now);

    /** Removes a flow, if it is tracked. */
    void remove(Endpoint client, Endpoint service);

    /**
     * Returns whether a tracked flow is closed, so that its client's port may belong to another flow already. Its entry is kept until the
     * idle timeout, for late packets.
     */
    static bool isClosed(const StreamFlow &flow, TimePoint now);

    /**
     * Ends the open flows that a predicate accepts. They no longer count as load, but keep their entries, because their clients may
     * still send packets.
     * @param matches the predicate
     * @return the flows that were neither closed nor ended before; the caller has to reset their clients
     */
    std::vector<StreamFlow> endMatching(const std::function<bool(const StreamFlow &)> &matches, TimePoint now);

    /**
     * Removes the flows that a predicate accepts.
     * @param matches the predicate
     * @return the removed flows that were open and not closed
     */
    std::vector<StreamFlow> removeMatching(const std::function<bool(const StreamFlow &)> &matches, TimePoint now);

    /**
     * Finds the responses that have become overdue since the last call.
     * @param report called with the token of the server, once for each overdue response or opening
     */
    void checkOverdue(TimePoint now, const std::function<void(std::uint32_t token)> &report);

    /** Removes the flows that had no packet for @p idleTimeout. */
    void expire(TimePoint now, std::chrono::nanoseconds idleTimeout);

    ServerFlowCounts flowCountsOf(std::uint32_t token) const;

    /** Returns the counts of all servers that have flows, by token. */
    const std::unordered_map<std::uint32_t, ServerFlowCounts> &flowCounts() const;

    std::size_t size() const;

private:
    using Flows = std::list<StreamFlow>;

    /** When a response, or the opening of a flow, becomes overdue. */
    struct OverdueCheck {
        TimePoint due {};
        std::uint64_t key = 0; // of the flow
        TimePoint sentAt {}; // when the request or the opening packet was sent
        bool awaitsOpening = false; /**< whether the opening of the flow is checked instead of a response */
    };

    /** The last flow that a client host opened to a service. */
    struct LastOpening {
        std::uint64_t flow = 0; // key of the flow
        std::uint32_t sequence = 0; // of the opening packet; another one from the same port opens another flow
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
    Flows m_recent; // flows that count as load, sorted by the time of the last packet
    Flows m_idle; // flows that don't count as load, in the same order
    std::unordered_map<std::uint64_t, Flows::iterator> m_byKey;
    std::unordered_map<std::uint32_t, ServerFlowCounts> m_flowCounts;
    std::unordered_map<std::uint64_t, LastOpening> m_lastOpenings; // by client host and service, if the last flow is not open yet
    std::queue<OverdueCheck> m_overdueChecks; // sorted by time, since all of them have the same delay
};

} // namespace Samphirepitch
