#pragma once

#include "health/serverprobe.h"

#include <asio/any_io_executor.hpp>

#include <string_view>

namespace Samphirepitch
{

/** Probes with GET /health. Each probe opens a new connection, so that a server that accepts no connections is detected. */
class HttpServerProbe : public ServerProbe
{
public:
    static constexpr std::size_t maxResponseSize = 4096; /**< limit in bytes of the header, and also of the body; a report takes about 60 */

    /**
     * @param executor executor for the connections
     * @param clock time source; must outlive the probe
     */
    HttpServerProbe(asio::any_io_executor executor, const Clock &clock);

    asio::awaitable<ProbeResult> probe(Endpoint health, TimePoint deadline) override;

    /**
     * Parses a health report: a JSON object whose "state" is "ok", "draining" or "overloaded".
     * @param body body of the HTTP response
     * @return the reported state, or Malformed if the body is longer than maxResponseSize or not such an object
     */
    static ProbeResult parseReport(std::string_view body);

private:
    asio::any_io_executor m_executor;
    const Clock &m_clock;
};

} // namespace Samphirepitch
