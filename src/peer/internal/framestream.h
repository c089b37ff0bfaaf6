#pragma once

#include "core/error.h"

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace Samphirepitch
{

/**
 * Reads one frame.
 * @param socket a connected socket
 * @param limit maximum size of the body in bytes
 * @param onProgress called whenever a part of the frame has arrived; may be empty
 * @return the body, Malformed if it is empty, TooLarge if it is above @p limit, or Unavailable if the connection ended
 */
asio::awaitable<Result<std::string>> readFrame(asio::ip::tcp::socket &socket, std::size_t limit, std::function<void()> onProgress);

// An overload instead of a default argument: GCC 12 miscompiles a braced temporary in a co_await expression.
/** Reads one frame without reports of progress. */
asio::awaitable<Result<std::string>> readFrame(asio::ip::tcp::socket &socket, std::size_t limit);

} // namespace Samphirepitch
