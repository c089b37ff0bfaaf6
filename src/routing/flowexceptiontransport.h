#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Samphirepitch
{

/**
 * Flow exceptions of one service: flows that stay on one backend server although a change of the lookup table moved their buckets
 * to other servers.
 */
struct FlowExceptionUpdate {
    static constexpr std::size_t maxKeys = 4096; /**< maximum number of keys in one update; they take 32 KB */

    std::uint64_t sequence = 0; /**< chosen by the sender; identifies the update in Router::flowExceptionsDelivered() */
    std::string service; /**< name of the service */
    std::uint64_t generation = 0; /**< configuration generation that the sender uses */
    Endpoint server; /**< address of the backend server that serves the flows */
    std::string failureDomain; /**< failure domain of that server */
    std::vector<std::uint64_t> keys; /**< flow keys */

    friend bool operator==(const FlowExceptionUpdate &, const FlowExceptionUpdate &) = default;
};

/** Sends flow exceptions to other instances: the owner and the successor of a moved bucket. */
class FlowExceptionTransport
{
public:
    virtual ~FlowExceptionTransport() = default;

    /**
     * Sends an update to an instance, which must pass it to Router::flowExceptionsReceived(). When the receiver has acknowledged the
     * update, an implementation must call Router::flowExceptionsDelivered() of the sender; until then the sender doesn't count as
     * prepared for its generation (Router::preparedGeneration()).
     * @param instance id of the receiving instance, which is never the sender
     * @param update flow exceptions to send
     */
    virtual void sendFlowExceptions(const std::string &instance, const FlowExceptionUpdate &update) = 0;
};

} // namespace Samphirepitch
