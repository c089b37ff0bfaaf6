#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Flows of one service that stay on one backend server although the lookup table moved their buckets. */
struct FlowExceptionUpdate {
    static constexpr std::size_t maxKeys = 4096; /**< keys in a batch; 32 KB */

    std::uint64_t sequence = 0; /**< chosen by the sender; names the batch in Router::flowExceptionsDelivered() */
    std::string service; /**< name of the service */
    std::uint64_t generation = 0; /**< generation that the sender holds */
    Endpoint server; /**< address of the backend server that has the flows */
    std::string failureDomain; /**< failure domain of that server */
    std::vector<std::uint64_t> keys; /**< flow keys */

    friend bool operator==(const FlowExceptionUpdate &, const FlowExceptionUpdate &) = default;
};

/** Carries flow exceptions to the computed owner and successor. */
class FlowExceptionTransport
{
public:
    virtual ~FlowExceptionTransport() = default;

    /**
     * Sends a batch to an instance, which gives it to Router::flowExceptionsReceived(). The sender's Router must be told by
     * flowExceptionsDelivered() when the other instance has it; until then the sender doesn't count as prepared.
     * @param instance id of the receiver; never the sender itself
     */
    virtual void sendFlowExceptions(const std::string &instance, const FlowExceptionUpdate &update) = 0;
};

} // namespace Samphirepitch
