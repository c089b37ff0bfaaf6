#pragma once

#include "core/clock.h"
#include "core/endpoint.h"

#include <cstdint>
#include <string>

namespace Samphirepitch
{

/** Whether a backend server takes new flows. */
enum class ServerPhase {
    Ready,
    Draining, /**< It keeps its flows and takes no new ones. */
};

/** One incarnation of a backend server, as discovery describes it. */
struct StreamServer {
    std::string id; /**< unique among the servers that run; a restarted server may keep it */
    std::uint64_t number = 0; /**< the id as a number; packets name the server by it */
    std::string service;
    Endpoint address; /**< for packets (UDP) and health checks (TCP) */
    std::string failureDomain;
    std::uint32_t slots = 1; /**< requests that it runs at once */
    ServerPhase phase = ServerPhase::Ready;
    TimePoint coldUntil {}; /**< it is slow after its start until this time */
    std::int64_t startedAt = 0; /**< Unix time in milliseconds; tells incarnations under one id apart; 0 if unknown */
    std::uint64_t revision = 0; /**< of the store at the last change of the entry */

    friend bool operator==(const StreamServer &, const StreamServer &) = default;
};

} // namespace Samphirepitch
