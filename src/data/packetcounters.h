#pragma once

#include <cstdint>

namespace Samphirepitch
{

/** Counters of packets and requests of an instance, since its start. Field names follow the labels of the metrics. */
struct PacketCounters {
    std::uint64_t fromFabric = 0; /**< datagrams received at the data address, including those that other instances forwarded */
    std::uint64_t fromServers = 0; /**< datagrams received at the back address */
    std::uint64_t toServers = 0; /**< datagrams sent to backend servers, without cancellations */
    std::uint64_t toCallers = 0; /**< datagrams sent to the fabric */
    std::uint64_t forwarded = 0; /**< datagrams forwarded to other instances */
    std::uint64_t malformed = 0; /**< datagrams without a valid header or RPC message, with too many hops, or responses of non-members */
    std::uint64_t unknownService = 0; /**< datagrams whose service address is not configured */
    std::uint64_t foreignSender = 0; /**< datagrams whose sender is not a backend server of the service */
    std::uint64_t strayAnswers = 0; /**< responses for which no request is pending */
    std::uint64_t crossedAnswers = 0; /**< responses from another server than the request was sent to */
    std::uint64_t repeatedRequests = 0; /**< requests that arrived again with the same id */
    std::uint64_t notRun = 0; /**< requests that this instance refused with the outcome "not_run" */
    std::uint64_t unknown = 0; /**< requests that this instance refused with the outcome "unknown" */
    std::uint64_t retries = 0; /**< requests sent to a second server */
    std::uint64_t cancellations = 0; /**< cancellations sent to backend servers */
    std::uint64_t dropped = 0; /**< packets other than requests for which no server or instance was found */
};

} // namespace Samphirepitch
