#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** What an answer says of its request. */
enum class ResponseKind {
    Result, /**< The server's result. */
    NotRun, /**< Not run. */
    Refused, /**< Not run because of overload, with a time after which to try again. */
    Unknown, /**< The balancer does not know the outcome. */
    Failed, /**< Any other error. */
};

/** An answer as a caller reads it. */
struct CallerResponse {
    std::uint32_t id = 0;
    ResponseKind kind = ResponseKind::Failed;
    std::string service; /**< "service" of the result */
    std::string server; /**< "server" of the result */
    std::string body; /**< "echo" of the result */
    std::uint64_t runs = 0; /**< "runs" of the result: how often the server has run the request; 0 if it does not say so */
};

/** The notification by which a backend server reports what it saw of a flow. */
struct SeenNotification {
    std::string server;
    std::uint64_t count = 0; /**< notifications of the flow so far */
};

/** A datagram that a caller received; unset members mean another or a broken message. */
struct CallerMessage {
    std::optional<CallerResponse> response;
    std::optional<SeenNotification> seen;

    /** Reads a datagram. */
    static CallerMessage decode(std::span<const char> datagram);
};

/** Returns the request [0, id, method, [{"work_us": n, "body": text}]]. */
std::vector<char> encodeRequest(std::uint32_t id, std::string_view method, std::uint64_t workUs, std::string_view body);

/** Returns the notification [2, "feed", [{"body": text}]]. */
std::vector<char> encodeFeed(std::string_view body);

} // namespace Samphirepitch
