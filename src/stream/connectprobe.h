#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "stream/serverfailuredetector.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <system_error>

namespace Samphirepitch
{

/** Tries whether a backend server accepts connections; drivers and tests give their own. */
class ConnectProbe
{
public:
    virtual ~ConnectProbe() = default;

    /** Connects once and closes the connection. @return the result, by @p deadline */
    virtual asio::awaitable<ConnectResult> connect(Endpoint server, TimePoint deadline) = 0;
};

/** Connects over TCP. */
class TcpConnectProbe : public ConnectProbe
{
public:
    /** A deadline that was noticed later than this says nothing: the answer may have waited for the processor all the while. */
    static constexpr std::chrono::milliseconds maxTimerLateness { 20 };

    /** Returns what the end of an attempt before its deadline means; faults of this instance, such as no descriptor, say nothing. */
    static ConnectResult resultOf(const std::error_code &error);

    /** Returns what an unanswered connection means if its deadline was noticed at @p now. */
    static ConnectResult timeoutResult(TimePoint deadline, TimePoint now);

    TcpConnectProbe(asio::any_io_executor executor, const Clock &clock);

    asio::awaitable<ConnectResult> connect(Endpoint server, TimePoint deadline) override;

private:
    asio::any_io_executor m_executor;
    const Clock &m_clock;
};

} // namespace Samphirepitch
