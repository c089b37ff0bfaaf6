#pragma once

#include "core/error.h"

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <string>

namespace Samphirepitch
{

/**
 * Reads one frame.
 * @param socket a connected socket
 * @param limit maximum size of the body in bytes
 * @return the body, Malformed if it is empty, TooLarge if it is above @p limit, or Unavailable if the connection ended
 */
asio::awaitable<Result<std::string>> readFrame(asio::ip::tcp::socket &socket, std::size_t limit);

} // namespace Samphirepitch
