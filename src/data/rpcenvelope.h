#pragma once

#include "data/proxyheader.h"

#include <string_view>

namespace Samphirepitch
{

/** The kinds of MessagePack-RPC messages, with their numbers on the wire. */
enum class RpcKind : std::uint8_t {
    Request = 0, /**< [0, id, method, params] */
    Response = 1, /**< [1, id, error, result] */
    Notification = 2, /**< [2, method, params] */
};

/** What the balancer reads of a MessagePack-RPC message; params and results stay unread but are checked to be complete. */
struct RpcEnvelope {
    RpcKind kind = RpcKind::Notification;
    std::uint32_t id = 0; /**< of requests and responses */
    std::string_view method; /**< of requests and notifications; points into the payload */
    bool failed = false; /**< a response whose error is not nil */
    bool notRun = false; /**< a response whose error is a map that starts with "outcome": "not_run" */

    static constexpr std::size_t maxMethodSize = 128; /**< bytes */
    static constexpr std::size_t maxDepth = 16; /**< nested arrays and maps */

    /**
     * Reads one message without allocating. The payload must hold exactly one complete message.
     * @param payload the bytes of a datagram behind its header
     */
    static tl::expected<RpcEnvelope, PacketFault> decode(std::span<const std::uint8_t> payload);
};

} // namespace Samphirepitch
