#pragma once

#include "health/serverprobe.h"

#include <asio/any_io_executor.hpp>

#include <string_view>

namespace Samphirepitch
{

/** Probes by GET /health over a new connection each time, so that a server that accepts no connections is noticed. */
class HttpServerProbe : public ServerProbe
{
public:
    static constexpr std::size_t maxAnswerSize = 4096; /**< bytes of the body; a report takes about 60 */

    /** @param clock has to outlive the probe */
    HttpServerProbe(asio::any_io_executor executor, const Clock &clock);

    asio::awaitable<ProbeResult> probe(Endpoint health, TimePoint deadline) override;

    /** Reads the body of an answer: a JSON object whose "state" is "ok", "draining" or "overloaded". */
    static ProbeResult resultOf(std::string_view body);

private:
    asio::any_io_executor m_executor;
    const Clock &m_clock;
};

} // namespace Samphirepitch
