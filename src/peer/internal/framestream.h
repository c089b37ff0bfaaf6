#pragma once

#include "core/error.h"

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <string>

namespace Samphirepitch
{

/** Reads one frame. @return its body, Malformed, TooLarge, or Unavailable if the connection ended */
asio::awaitable<Result<std::string>> readFrame(asio::ip::tcp::socket &socket, std::size_t limit);

} // namespace Samphirepitch
