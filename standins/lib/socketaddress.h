#pragma once

#include "core/endpoint.h"

#include <netinet/in.h>

namespace Samphirepitch::StandIn
{

sockaddr_in toSocketAddress(Endpoint endpoint);
Endpoint fromSocketAddress(const sockaddr_in &address);

} // namespace Samphirepitch::StandIn
