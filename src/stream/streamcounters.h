#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Samphirepitch
{

/** The reason why a packet was forwarded, reset or dropped. */
enum class StreamOutcome {
    Placed, /**< a server was chosen for a new flow */
    PlacedAgain, /**< a server was chosen again for a retransmitted opening packet */
    Known, /**< the packet belongs to a flow with a known server */
    NoRoute, /**< no route has the destination address */
    NoServer, /**< no server can take the flow */
    Evacuated, /**< the server of an opening packet, or all that could take its flow, are in evacuated failure domains */
    ColdLimit, /**< this instance has used up its shares of the cold servers, and no other server can take the flow */
    Held, /**< the packet waits in this instance until its service has room */
    NoRoom, /**< the service has no room for the request within the time that its caller waits */
    ServerGone, /**< the flow's server has ended */
    ServerSilent, /**< the flow's server can't be reached and its client may retry the request */
    RouteRemoved, /**< a new configuration has no route for an open flow */
    UnknownToken, /**< the instance knows no server with the token */
    NoToken, /**< a packet other than an opening packet has no token, and its flow isn't tracked */
    NotReady, /**< no configuration or no list of servers has been read since the start */
    Unreadable, /**< the datagram is not a packet of a stream flow */
};

constexpr std::size_t streamOutcomeCount = 16;

/** Returns the name of an outcome as it appears in logs and metrics. */
constexpr std::string_view streamOutcomeName(StreamOutcome outcome)
{
    constexpr std::array<std::string_view, streamOutcomeCount> names { "placed", "placed_again", "known", "no_route", "no_server",
        "evacuated", "cold_limit", "held", "no_room", "server_gone", "server_silent", "route_removed", "unknown_token", "no_token",
        "not_ready", "unreadable" };
    return names[static_cast<std::size_t>(outcome)];
}

/** Counts packets, and open flows that are reset without a packet, by outcome. */
class StreamCounters
{
public:
    void count(StreamOutcome outcome)
    {
        ++m_counts[static_cast<std::size_t>(outcome)];
    }

    std::uint64_t of(StreamOutcome outcome) const
    {
        return m_counts[static_cast<std::size_t>(outcome)];
    }

private:
    std::array<std::uint64_t, streamOutcomeCount> m_counts {};
};

} // namespace Samphirepitch
