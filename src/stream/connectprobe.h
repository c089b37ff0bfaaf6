#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "stream/serverfailuredetector.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <system_error>

namespace Samphirepitch
{

/** Checks whether a backend server accepts connections. Simulations and tests provide their own implementations. */
class ConnectProbe
{
public:
    virtual ~ConnectProbe() = default;

    /**
     * Opens one connection and closes it again.
     * @param server the address to connect to
     * @param deadline when the attempt ends without a result from the server
     * @return Accepted, Refused or Unanswered; Inconclusive if the attempt failed in a way that doesn't depend on the server
     */
    virtual asio::awaitable<ConnectResult> connect(Endpoint server, TimePoint deadline) = 0;
};

/** Probes backend servers over TCP. */
class TcpConnectProbe : public ConnectProbe
{
public:
    /**
     * If the deadline timer fires later than this, the result is Inconclusive: the response of the server may have been waiting all
     * that time for this process to get CPU time.
     */
    static constexpr std::chrono::milliseconds maxTimerLateness { 20 };

    /**
     * Returns the result of an attempt that ended before its deadline.
     * @param error the outcome of the connect call; faults of this instance, such as a lack of file descriptors, are Inconclusive
     */
    static ConnectResult resultOf(const std::error_code &error);

    /**
     * Returns the result of an attempt that reached its deadline.
     * @param deadline when the attempt was due to end
     * @param now when the instance handled the deadline; see maxTimerLateness
     */
    static ConnectResult timeoutResult(TimePoint deadline, TimePoint now);

    TcpConnectProbe(asio::any_io_executor executor, const Clock &clock);

    asio::awaitable<ConnectResult> connect(Endpoint server, TimePoint deadline) override;

private:
    asio::any_io_executor m_executor;
    const Clock &m_clock;
};

} // namespace Samphirepitch
