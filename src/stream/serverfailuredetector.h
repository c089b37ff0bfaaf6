#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Samphirepitch
{

/** What an instance holds a backend server for. */
enum class ServerStatus {
    Trusted,
    Suspected, /**< Packets to it were not answered, or another instance found it ended; new flows avoid it. */
    Unreachable, /**< A connection to it could not be made in time; that may be a lost packet. */
    Silent, /**< Two connections in a row could not be made and clients repeat in vain: it has ended or is behind a cut. */
    Gone, /**< It has ended: its host refused a connection, its address went to another server, or it left. */
};

/** Returns the lower-case name of a standing, for logs and metrics. */
std::string_view serverStatusName(ServerStatus status);

/** What an attempt to connect to a backend server showed. */
enum class ConnectResult {
    Accepted,
    Refused, /**< Its host lives and nothing listens there. */
    Unanswered,
    Inconclusive, /**< This instance was too late to tell an answer from silence. */
};

/** Returns the lower-case name of a result, for logs and metrics. */
std::string_view connectResultName(ConnectResult result);

/**
 * Judges backend servers by what passes through the instance: clients' packets show within a round trip or two that a server
 * does not answer, long before discovery drops its entry. Suspicion only keeps new flows away; that a server is gone takes proof.
 */
class ServerFailureDetector
{
public:
    /** New flows avoid a server this long after unanswered packets. A client repeats a packet after 200, 600 and 1,400 ms. */
    static constexpr std::chrono::milliseconds suspicionTime { 1200 };
    /** Least time between two connections to one server: a tenth of what a client waits for an opening packet. */
    static constexpr std::chrono::milliseconds minProbeInterval { 150 };
    /** Time between connections to a server that is silent or gone. */
    static constexpr std::chrono::milliseconds failedProbeInterval { 700 };
    /** Time from a connection that was not made in time to the next one, which decides whether the server is silent. */
    static constexpr std::chrono::milliseconds secondProbeDelay { 50 };
    /** Connections in a row that make a server silent: one is lost too easily. */
    static constexpr std::uint32_t timeoutsUntilSilent = 2;
    /**
     * A server that refused connections has ended, and one that accepts them afterwards is most likely its next incarnation. It counts as
     * the same one only if the list of servers still says so this long after.
     */
    static constexpr std::chrono::milliseconds recoveryConfirmationTime { 2500 };

    /** The server @p token answered something. */
    void recordResponse(std::uint32_t token, TimePoint now);

    /** A packet to the server had to be repeated. @return the standing before, if it changed */
    bool recordRetransmission(std::uint32_t token, TimePoint now);

    /** An answer of the server takes long; asks for a connection without suspecting it. */
    void requestProbe(std::uint32_t token);

    /** Asks for the next connection soon, at the probe interval and not at that of rechecks. */
    void expediteProbe(std::uint32_t token);

    /** A packet of an open flow goes to the server; asks for a connection if the server is silent, gone, or reported to have ended. */
    void recordForwardedPacket(std::uint32_t token);

    /** Takes the result of a connection that was begun at @p begun. @return whether the standing changed */
    bool recordProbeResult(std::uint32_t token, ConnectResult result, TimePoint probeStart, TimePoint now);

    /**
     * Trusts servers again that were gone and accept connections, if discovery still lists the same incarnation.
     * @param confirmed when the list of servers was complete last; a new incarnation is listed within about 2 s of its start
     * @param isListed whether discovery lists the incarnation of a token
     * @return the servers that are trusted again
     */
    std::vector<std::uint32_t> takeRecovered(TimePoint confirmed, const std::function<bool(std::uint32_t)> &isListed);

    /** The list of servers proves that the server has ended. @return whether that is new */
    bool recordProvenEnd(std::uint32_t token, TimePoint now);

    /** Another instance found that the server has ended. @return whether that is new */
    bool recordReportedEnd(std::uint32_t token);

    /** Returns whether another instance found that the server has ended, and no connection of this one showed otherwise. */
    bool isEndReported(std::uint32_t token) const;

    /** Returns up to @p most servers that a connection should be made to now, and counts them as asked; the others stay due. */
    std::vector<std::uint32_t> takeDueProbes(TimePoint now, std::size_t maxCount = std::numeric_limits<std::size_t>::max());

    ServerStatus status(std::uint32_t token, TimePoint now) const;

    /** Returns when the list of servers proved the end of a server; the beginning of the clock if it did not. */
    TimePoint endProvenAt(std::uint32_t token) const;

    /**
     * Returns when the last connection was begun that showed that a server is gone or silent; the beginning of the clock if none did. An
     * incarnation that opened a flow before that no longer serves it.
     */
    TimePoint lastFailedProbe(std::uint32_t token) const;

    /** Forgets what is known of the server, which makes it a trusted one. */
    void forget(std::uint32_t token);

private:
    struct State {
        bool isGone = false;
        bool endReported = false; // as ended, by another instance
        TimePoint endProvenAt {}; // by the list of servers
        TimePoint lastFailedProbe {};
        std::uint32_t consecutiveTimeouts = 0; // connections in a row that were not made in time
        bool retransmitted = false; // a client had to send again since the last answer
        bool probeRequested = false;
        TimePoint lastProbe {};
        TimePoint acceptedAt {}; // when a server that was gone accepted a connection
        TimePoint suspectedUntil {};
        TimePoint nextProbe {};
    };

    const State *find(std::uint32_t token) const;
    static bool isSilent(const State &state);
    void expediteProbe(State &state);

    // Only servers that something is known of; a trusted server usually has no entry.
    std::unordered_map<std::uint32_t, State> m_states;
};

} // namespace Samphirepitch
