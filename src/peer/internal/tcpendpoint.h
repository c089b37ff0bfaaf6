#pragma once

#include "core/endpoint.h"

#include <asio/ip/tcp.hpp>

namespace Samphirepitch
{

/** Converts an endpoint to the Asio type. */
inline asio::ip::tcp::endpoint tcpEndpoint(Endpoint endpoint)
{
    return { asio::ip::address_v4(endpoint.address()), endpoint.port() };
}

} // namespace Samphirepitch
