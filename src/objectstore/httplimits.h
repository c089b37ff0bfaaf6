#pragma once

#include <chrono>
#include <cstddef>

namespace Samphirepitch
{

/** Limits on what an HTTP connection accepts from the other side. */
struct HttpLimits {
    std::size_t maxHeaderSize = 16 * 1024; /**< bytes of the target and all header fields */
    std::size_t maxHeaderCount = 64; /**< header fields */
    std::size_t maxBodySize = 1024 * 1024 + 4096; /**< bytes; a value of the platform and room for JSON around it */
    std::size_t maxConnections = 1024; /**< of a server; further connections are closed at once */
    std::chrono::milliseconds idleTimeout { 60000 }; /**< a server closes a connection that sends no request for this long */
    std::chrono::milliseconds transferTimeout { 10000 }; /**< for reading one request and for writing one response */
};

} // namespace Samphirepitch
