#pragma once

#include <cstdint>

namespace Samphirepitch
{

/** What happened to the packets of an instance. */
struct PacketCounters {
    std::uint64_t fromFabric = 0; /**< datagrams at the data address, forwarded ones included */
    std::uint64_t fromServers = 0; /**< datagrams at the back address */
    std::uint64_t toServers = 0;
    std::uint64_t toCallers = 0;
    std::uint64_t forwarded = 0; /**< to other instances */
    std::uint64_t malformed = 0; /**< not a valid header or RPC message */
    std::uint64_t unknownService = 0;
    std::uint64_t foreignSender = 0; /**< answers from an address that is no server of the service */
    std::uint64_t strayAnswers = 0; /**< answers that no request waits for */
    std::uint64_t crossedAnswers = 0; /**< answers of another server than the request was sent to */
    std::uint64_t repeatedRequests = 0;
    std::uint64_t notRun = 0; /**< refusals that say "not_run" */
    std::uint64_t unknown = 0; /**< answers that say "unknown" */
    std::uint64_t retries = 0;
    std::uint64_t cancellations = 0;
    std::uint64_t dropped = 0; /**< packets that are no requests and could not be placed */
};

} // namespace Samphirepitch
