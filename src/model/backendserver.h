#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>

namespace Samphirepitch
{

/** What an operator wants of a backend server. */
enum class ServerState {
    Active, /**< Takes new work. */
    Drain, /**< Keeps its flows and gets no new work. */
};

/** A server that runs the work of a service; a member of one backend server pool. */
class BackendServer
{
public:
    /** The values of all fields; the object never changes after construction. */
    struct Fields {
        std::string name; /**< unique inside its pool */
        std::string failureDomain; /**< name of a FailureDomain */
        Endpoint address; /**< where datagrams go */
        Endpoint health; /**< TCP address of the health endpoint; unset if the server has none */
        std::uint32_t weight = 100; /**< share of new flows, 0..100 */
        std::uint32_t slots = 1; /**< requests that the server runs at the same time, 1..1024 */
        std::uint32_t connections = 2000; /**< flows that the server holds at most */
        ServerState state = ServerState::Active; /**< whether new work may be sent */

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
