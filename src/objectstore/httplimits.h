#pragma once

#include <chrono>
#include <cstddef>

namespace Samphirepitch
{

/** Limits and timeouts of HTTP connections. */
struct HttpLimits {
    std::size_t maxHeaderSize = 16 * 1024; /**< bytes of the request target and all header fields of a message */
    std::size_t maxHeaderCount = 64; /**< header fields of a message */
    std::size_t maxBodySize = 1024 * 1024 + 4096; /**< bytes; a platform object of maximum size and some JSON around it */
    std::size_t maxConnections = 1024; /**< connections of a server; further ones are closed immediately */
    std::chrono::milliseconds idleTimeout { 60000 }; /**< time without a request after which a server closes a connection */
    std::chrono::milliseconds transferTimeout { 10000 }; /**< timeout of a server for receiving a request, and for sending a response */
};

} // namespace Samphirepitch
