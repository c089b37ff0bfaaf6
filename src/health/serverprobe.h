#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "health/proberesult.h"

#include <asio/awaitable.hpp>

namespace Samphirepitch
{

/** Probes the health endpoints of backend servers. HttpServerProbe is the implementation of the daemon. */
class ServerProbe
{
public:
    virtual ~ServerProbe() = default;

    /**
     * Probes a health endpoint once. An implementation must return Unanswered at @p deadline at the latest, and must support
     * cancellation, which may end the coroutine with an exception.
     * @param health TCP address of the health endpoint
     * @param deadline time until which the response is awaited
     * @return the result of the probe
     */
    virtual asio::awaitable<ProbeResult> probe(Endpoint health, TimePoint deadline) = 0;
};

} // namespace Samphirepitch
