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

/** The state of a backend server as an instance has detected it. */
enum class ServerStatus {
    Trusted,
    Suspected, /**< Packets to it got no response, another instance reports its end, or its address is claimed. New flows avoid it. */
    Unreachable, /**< Probes timed out, which may be due to a lost packet or a full listen queue. */
    Silent, /**< Its probes timed out while others were answered, and clients retransmit or its end was reported. */
    Gone, /**< It has ended: its host refused a connection, or its entry was removed and nothing shows that it still runs. */
};

/** Returns the name of a status as it appears in the log. */
std::string_view serverStatusName(ServerStatus status);

/** The result of an attempt to connect to a backend server. */
enum class ConnectResult {
    Accepted,
    Refused, /**< Its host runs, but nothing listens on the port. */
    Unanswered,
    Inconclusive, /**< The attempt says nothing about the server: it failed in this instance, or its deadline was handled too late. */
};

/** Returns the name of a result as it appears in the log. */
std::string_view connectResultName(ConnectResult result);

/**
 * Detects failed backend servers. The packets of clients show within one or two round trips that a server doesn't respond, long before
 * discovery removes its entry. New flows avoid a suspected server, but it counts as gone only on proof, such as a refused connection.
 *
 * A probe also times out if the link or the processor of this instance is overloaded, which delays the packets of clients as well. A
 * timeout therefore counts towards silence only if another server answered a probe that was started later: that probe was queued behind the
 * first one on the link of this instance, so the link and the processor were not the reason.
 */
class ServerFailureDetector
{
public:
    /** How long new flows avoid a server after a retransmission. Clients retransmit after 200, 600 and 1,400 ms. */
    static constexpr std::chrono::milliseconds suspicionTime { 1200 };
    /** Shortest time between two probes of one server: a tenth of the time that a client waits for a flow to open. */
    static constexpr std::chrono::milliseconds minProbeInterval { 150 };
    /** Time between probes of a server that is gone or silent, or after the third timeout in a row. */
    static constexpr std::chrono::milliseconds failedProbeInterval { 700 };
    /** Time from a probe that timed out to the next one, as long as that may decide whether the server is silent. */
    static constexpr std::chrono::milliseconds secondProbeDelay { 50 };
    /**
     * Probe timeouts without a response in between that make a server silent, if also a client retransmits or its end was reported. A
     * single probe may fail because of a lost packet.
     */
    static constexpr std::uint32_t timeoutsUntilSilent = 2;
    /**
     * A server that refused a connection has ended. If connections are accepted afterwards, that is most likely its next incarnation; it
     * counts as the same incarnation only if discovery still lists that one this long afterwards.
     */
    static constexpr std::chrono::milliseconds recoveryConfirmationTime { 2500 };
    /**
     * How long new flows avoid a server whose address another entry claims. If the server has ended, its own entry is removed within three
     * of its reports, which are about a second apart; the rest is a margin for the way to this instance.
     */
    static constexpr std::chrono::milliseconds claimTime { 6000 };

    /** Records that a server has responded to a client. Clears its timeouts and retransmissions, unless it is gone. */
    void recordResponse(std::uint32_t token, TimePoint now);

    /** Records that a client had to retransmit a packet, and requests a probe. @return whether the status changed */
    bool recordRetransmission(std::uint32_t token, TimePoint now);

    /** Requests a probe of a server without suspecting it. */
    void requestProbe(std::uint32_t token);

    /** Requests a probe minProbeInterval after the last one, even if the server is probed every failedProbeInterval. */
    void expediteProbe(std::uint32_t token);

    /** Records that a packet of an open flow is sent to the server, and expedites its probe if it is silent, gone or reported as ended. */
    void recordForwardedPacket(std::uint32_t token);

    /** Records the result of a probe that was started at @p probeStart. @return whether the status changed */
    bool recordProbeResult(std::uint32_t token, ConnectResult result, TimePoint probeStart, TimePoint now);

    /**
     * Resets the status of servers that were gone, accept connections again and are still listed as the same incarnation.
     * @param confirmed when the list of servers was last complete; a new incarnation is listed within about 2 s of its start
     * @param isListed returns whether discovery lists the incarnation with a token
     * @return the tokens of the servers that are trusted again
     */
    std::vector<std::uint32_t> takeRecovered(TimePoint confirmed, const std::function<bool(std::uint32_t)> &isListed);

    /** Discards the timeouts of a server that has begun to drain: its probes end, so that no answer would clear them. */
    void recordDraining(std::uint32_t token);

    /** Records that the list of servers proves the end of a server. @return whether it was not gone before */
    bool recordProvenEnd(std::uint32_t token, TimePoint now);

    /** Records that another instance reports the end of a server. @return whether that is new and the server is not gone already */
    bool recordReportedEnd(std::uint32_t token);

    /** Returns whether another instance has reported the end of a server and no probe of this instance was accepted since. */
    bool isEndReported(std::uint32_t token) const;

    /**
     * Records that the entry of another server with a later start has the address of a server. Whoever wrote it, a response of the server
     * itself refutes it. A probe doesn't, because either of the two may answer.
     */
    void recordAddressClaim(std::uint32_t token, TimePoint now);

    /** Discards the claim to the address of a server, because the server's own entry was written later. */
    void clearAddressClaim(std::uint32_t token);

    /** Returns whether the address of a server is claimed and the server has not responded since. */
    bool isAddressClaimed(std::uint32_t token) const;

    /** Returns up to @p maxCount servers whose probes are due and marks these probes as started. The other probes stay due. */
    std::vector<std::uint32_t> takeDueProbes(TimePoint now, std::size_t maxCount = std::numeric_limits<std::size_t>::max());

    /** Marks a probe of a server that is not due as started. @return false if its next probe may not start yet */
    bool startProbe(std::uint32_t token, TimePoint now);

    /** Returns whether a server seems not to respond, so that its probe should be compared with that of another server. */
    bool needsComparison(std::uint32_t token) const;

    ServerStatus status(std::uint32_t token, TimePoint now) const;

    /** Returns when the list of servers first proved the end of a server, or TimePoint() if it didn't. */
    TimePoint endProvenAt(std::uint32_t token) const;

    /**
     * Returns the start of the last probe that was refused, or that timed out and brought the timeouts that count to timeoutsUntilSilent or
     * more; TimePoint() if there is none. If the server is gone or silent, a flow that was opened before that is no longer served.
     */
    TimePoint lastFailedProbe(std::uint32_t token) const;

    /** Discards the state of a server, which makes it trusted. */
    void forget(std::uint32_t token);

private:
    struct State {
        bool isGone = false;
        bool endReported = false; // whether another instance reports that the server has ended
        TimePoint endProvenAt {}; // when the list of servers proved the end
        TimePoint lastFailedProbe {};
        std::uint32_t consecutiveTimeouts = 0; // probes in a row that timed out
        std::uint32_t comparedTimeouts = 0; // those of them during which another server answered
        bool retransmitted = false; // whether a client has retransmitted since the last response or answered probe
        bool probeRequested = false;
        TimePoint lastProbe {};
        TimePoint acceptedAt {}; // when a server that was gone accepted a connection again
        TimePoint suspectedUntil {};
        TimePoint claimedAt {}; // when another entry with this address was seen; TimePoint() if the server has responded since
        TimePoint nextProbe {};
    };

    const State *find(std::uint32_t token) const;
    static bool isSilent(const State &state);
    void expediteProbe(State &state);

    TimePoint m_lastAnsweredProbe {}; // the latest start of a probe that any server has answered
    // By token. A trusted server usually has no entry.
    std::unordered_map<std::uint32_t, State> m_states;
};

} // namespace Samphirepitch
