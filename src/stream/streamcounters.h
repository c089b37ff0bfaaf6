#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Samphirepitch
{

/** Why a packet was forwarded, refused or dropped. */
enum class StreamOutcome {
    Placed, /**< a new flow got a server */
    PlacedAgain, /**< a copy of an opening packet went to another server */
    Known, /**< a packet went to the server that its token names */
    NoRoute, /**< no route for the address */
    NoServer, /**< no server can take the flow */
    ServerGone, /**< the flow's server has ended */
    ServerSilent, /**< the flow's server can't be reached and its client may repeat the request */
    RouteRemoved, /**< a new configuration dropped the route of an open flow */
    UnknownToken, /**< the token names no server that this instance knows */
    NoToken, /**< a later packet without a token, of a flow that this instance does not know */
    NotReady, /**< no configuration or no list of servers has been read since the start */
    Unreadable, /**< not a packet of a stream flow */
};

constexpr std::size_t streamOutcomeCount = 12;

/** Returns the lower-case name of an outcome, for logs and metrics. */
constexpr std::string_view streamOutcomeName(StreamOutcome outcome)
{
    constexpr std::array<std::string_view, streamOutcomeCount> names { "placed", "placed_again", "known", "no_route", "no_server",
        "server_gone", "server_silent", "route_removed", "unknown_token", "no_token", "not_ready", "unreadable" };
    return names[static_cast<std::size_t>(outcome)];
}

/** Counts packets by outcome. */
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
