#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "stream/storeposition.h"

#include <cstdint>
#include <string>

namespace Samphirepitch
{

/** Whether a backend server takes new flows. */
enum class ServerPhase {
    Ready,
    Draining, /**< It keeps its open flows but gets no new ones. */
};

/** One incarnation of a backend server, as listed by discovery. */
struct StreamServer {
    std::string id; /**< unique among running servers; a restarted server may keep it */
    std::uint64_t number = 0; /**< the id as a number, which identifies the server in packets */
    std::string service;
    Endpoint address; /**< address for packets (UDP) and health checks (TCP) */
    std::string failureDomain;
    std::uint32_t slots = 1; /**< number of requests that it processes at the same time */
    ServerPhase phase = ServerPhase::Ready;
    TimePoint coldUntil {}; /**< when it stops being slow after its start */
    std::int64_t startedAt = 0; /**< Unix time in milliseconds; distinguishes incarnations with the same id; 0 if unknown */
    StorePosition position; /**< of the last change of the entry */

    friend bool operator==(const StreamServer &, const StreamServer &) = default;
};

} // namespace Samphirepitch
