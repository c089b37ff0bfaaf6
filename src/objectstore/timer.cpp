#include "objectstore/timer.h"

#include <asio/steady_timer.hpp>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>

namespace Samphirepitch
{

SteadyTimer::SteadyTimer(const Clock &clock)
    : m_clock(clock)
{
}

asio::awaitable<void> SteadyTimer::waitUntil(TimePoint time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(time - m_clock.now());
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace Samphirepitch
