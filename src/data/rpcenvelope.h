#pragma once

#include "data/proxyheader.h"

#include <string_view>

namespace Samphirepitch
{

/** The kinds of MessagePack-RPC messages; the values are the type numbers on the wire. */
enum class RpcKind : std::uint8_t {
    Request = 0, /**< [0, id, method, params] */
    Response = 1, /**< [1, id, error, result] */
    Notification = 2, /**< [2, method, params] */
};

/**
 * The part of a MessagePack-RPC message that the balancer interprets. Params and results are not interpreted, only checked to be
 * complete.
 */
struct RpcEnvelope {
    RpcKind kind = RpcKind::Notification;
    std::uint32_t id = 0; /**< request id; set for requests and responses */
    std::string_view method; /**< set for requests and notifications; points into the payload */
    bool failed = false; /**< whether the message is a response whose error is not nil */
    bool notRun = false; /**< whether the message is a response whose error is a map with "outcome": "not_run" as first entry */

    static constexpr std::size_t maxMethodSize = 128; /**< longest accepted method name, in bytes */
    static constexpr std::size_t maxDepth = 16; /**< depth of nested arrays and maps at which a message is rejected */

    /**
     * Decodes the one message of a payload without allocating.
     * @param payload bytes of a datagram after its header
     * @return the envelope; or BadRpc if the payload is not exactly one complete and valid message of a known kind, TooDeep if a value
     *         reaches maxDepth
     */
    static tl::expected<RpcEnvelope, DecodeError> decode(std::span<const std::uint8_t> payload);
};

} // namespace Samphirepitch
