#pragma once

#include "data/rpcenvelope.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Samphirepitch::StandIn
{

/** A request or notification as a backend server decodes it; also encodes the messages that a backend server sends. */
struct RpcMessage {
    RpcKind kind = RpcKind::Notification;
    std::uint32_t id = 0;
    std::string method;
    std::optional<std::chrono::microseconds>
        serviceTime; /**< "work_us" of the first parameter, if that is a map with this key; at most one hour */
    std::string body; /**< msgpack encoding of "body" of the first parameter; nil if there is none */

    /** Decodes a request or a notification. @return the message; unset if the payload is a response or no MessagePack-RPC message */
    static std::optional<RpcMessage> decode(std::span<const std::uint8_t> payload);

    /**
     * Encodes the result of a request: [1, id, nil, {"server", "service", "echo", "runs"}].
     * @param id id of the request
     * @param server name of the backend server
     * @param service service address of the request
     * @param body msgpack encoding of the body of the request, sent back as "echo"
     * @param runs how often the request has run on this server
     * @return bytes of the message
     */
    static std::string encodeResult(
        std::uint32_t id, std::string_view server, std::string_view service, const std::string &body, std::uint32_t runs);

    /** Encodes the error of a request that was not run: [1, id, {"outcome": "not_run", "reason": reason}, nil]. */
    static std::string encodeNotRun(std::uint32_t id, std::string_view reason);

    /** Encodes a notification: [2, method, [server, count]]. */
    static std::string encodeNotification(std::string_view method, std::string_view server, std::uint64_t count);
};

} // namespace Samphirepitch::StandIn
