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

/** A request or a notification as a backend server reads it, and the messages that it sends. */
struct RpcMessage {
    RpcKind kind = RpcKind::Notification;
    std::uint32_t id = 0;
    std::string method;
    std::optional<std::chrono::microseconds> work; /**< "work_us" of a first parameter that is a map */
    std::string body; /**< msgpack bytes of its "body"; nil if there is none */

    /** Reads a request or a notification. @return nothing if the payload is another kind of message or not MessagePack-RPC */
    static std::optional<RpcMessage> decode(std::span<const std::uint8_t> payload);

    /** Returns [1, id, nil, {"server", "service", "echo", "runs"}]. */
    static std::string result(
        std::uint32_t id, std::string_view server, std::string_view service, const std::string &body, std::uint32_t runs);

    /** Returns [1, id, {"outcome": "not_run", "reason": reason}, nil]. */
    static std::string notRun(std::uint32_t id, std::string_view reason);

    /** Returns [2, method, [server, count]]. */
    static std::string notification(std::string_view method, std::string_view server, std::uint64_t count);
};

} // namespace Samphirepitch::StandIn
