#include "stream/connectprobe.h"

#include "objectstore/internal/socketdeadline.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>

namespace Samphirepitch
{

TcpConnectProbe::TcpConnectProbe(asio::any_io_executor executor, const Clock &clock)
    : m_executor(std::move(executor))
    , m_clock(clock)
{
}

ConnectResult TcpConnectProbe::timeoutResult(TimePoint deadline, TimePoint now)
{
    return now > deadline + maxTimerLateness ? ConnectResult::Inconclusive : ConnectResult::Unanswered;
}

ConnectResult TcpConnectProbe::resultOf(const std::error_code &error)
{
    if (!error) {
        return ConnectResult::Accepted;
    }
    if (error == asio::error::connection_refused) {
        return ConnectResult::Refused;
    }
    const bool isTimeout
        = error == asio::error::timed_out || error == asio::error::host_unreachable || error == asio::error::network_unreachable;
    return isTimeout ? ConnectResult::Unanswered : ConnectResult::Inconclusive;
}

asio::awaitable<ConnectResult> TcpConnectProbe::connect(Endpoint server, TimePoint deadline)
{
    asio::ip::tcp::socket socket(m_executor);
    const asio::ip::tcp::endpoint target(asio::ip::address_v4(server.address()), server.port());
    std::error_code error;
    const SocketDeadline limit(socket, deadline - m_clock.now());
    co_await socket.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    if (limit.expired()) {
        co_return timeoutResult(deadline, m_clock.now());
    }
    co_return resultOf(error);
}

} // namespace Samphirepitch
