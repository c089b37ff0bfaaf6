#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>

namespace Samphirepitch
{

/** The administrative state of a backend server, set by an operator. */
enum class ServerState {
    Active, /**< New flows and requests may be sent to the server. */
    Drain, /**< The server keeps its flows until the drain timeout of the policy and gets no new work. */
};

/** A backend server that processes the traffic of services; it belongs to one BackendPool. */
class BackendServer
{
public:
    /** The fields of the object, which is immutable after construction. */
    struct Fields {
        std::string name; /**< unique in its pool */
        std::string failureDomain; /**< name of the FailureDomain in which the server runs */
        Endpoint address; /**< address and port to which packets are sent */
        Endpoint health; /**< TCP address of the health check endpoint; unset if the server has none */
        std::uint32_t weight = 100; /**< relative share of new flows, 0..100; 0 for no new flows */
        std::uint32_t slots = 1; /**< maximum number of concurrent requests, 1..1024 */
        std::uint32_t connections = 2000; /**< maximum number of concurrent flows, 1..10,000,000 */
        ServerState state = ServerState::Active; /**< administrative state */

        friend bool operator==(const Fields &, const Fields &) = default;
    };

    explicit BackendServer(Fields fields);

    const std::string &name() const;
    const std::string &failureDomain() const;
    Endpoint address() const;
    Endpoint health() const;
    std::uint32_t weight() const;
    std::uint32_t slots() const;
    std::uint32_t connections() const;
    ServerState state() const;

    friend bool operator==(const BackendServer &, const BackendServer &) = default;

private:
    Fields m_fields;
};

} // namespace Samphirepitch
