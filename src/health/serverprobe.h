#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "health/proberesult.h"

#include <asio/awaitable.hpp>

namespace Samphirepitch
{

/** Asks health endpoints of backend servers; drivers and tests give their own. */
class ServerProbe
{
public:
    virtual ~ServerProbe() = default;

    /** Asks the endpoint at @p health once and returns by @p deadline. */
    virtual asio::awaitable<ProbeResult> probe(Endpoint health, TimePoint deadline) = 0;
};

} // namespace Samphirepitch
