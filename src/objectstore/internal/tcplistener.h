#pragma once

#include "core/endpoint.h"

#include <asio/ip/tcp.hpp>

#include <system_error>

namespace Samphirepitch
{

/**
 * Makes @p acceptor listen on @p address. SO_REUSEADDR is set, so that connections of an earlier process do not block the address.
 * @return the error of the first system call that failed, or none
 */
std::error_code openListener(asio::ip::tcp::acceptor &acceptor, Endpoint address);

} // namespace Samphirepitch
