#pragma once

#include "core/endpoint.h"

#include <asio/ip/tcp.hpp>

#include <system_error>

namespace Samphirepitch
{

/**
 * Opens @p acceptor at @p address, also if connections of an earlier process still linger there.
 * @return the first error of the system calls, or none
 */
std::error_code openListener(asio::ip::tcp::acceptor &acceptor, Endpoint address);

} // namespace Samphirepitch
