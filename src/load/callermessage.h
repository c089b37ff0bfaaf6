#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** What a response says about its request. */
enum class ResponseKind {
    Result, /**< the server's result */
    NotRun, /**< the request was not run */
    Refused, /**< the request was not run because of overload; the response names a retry delay */
    Unknown, /**< the balancer does not know the outcome */
    Failed, /**< any other error */
};

/** A response as a caller decodes it. */
struct CallerResponse {
    std::uint32_t id = 0; /**< id of the request */
    ResponseKind kind = ResponseKind::Failed;
    std::string service; /**< "service" of the result: address of the service that ran the request */
    std::string server; /**< "server" of the result: name of the backend server */
    std::string body; /**< "echo" of the result: body of the request */
    std::uint64_t runs = 0; /**< "runs" of the result: how often the server has run the request; 0 if absent */
};

/** The notification "seen", with which a backend server reports the notifications that it received on a flow. */
struct SeenNotification {
    std::string server; /**< name of the backend server */
    std::uint64_t count = 0; /**< notifications received on the flow so far */
};

/** A decoded datagram of a caller. At most one member is set; none is set for an unknown or malformed message. */
struct CallerMessage {
    std::optional<CallerResponse> response;
    std::optional<SeenNotification> seen;

    /** Decodes a datagram of the MessagePack-RPC format. */
    static CallerMessage decode(std::span<const char> datagram);
};

/**
 * Encodes the request [0, id, method, [{"work_us": n, "body": text}]].
 * @param id request id
 * @param method RPC method
 * @param workUs time that the backend server spends on the request, in microseconds
 * @param body text that the backend server sends back
 */
std::vector<char> encodeRequest(std::uint32_t id, std::string_view method, std::uint64_t workUs, std::string_view body);

/** Encodes the notification [2, "feed", [{"body": text}]]. */
std::vector<char> encodeFeed(std::string_view body);

} // namespace Samphirepitch
