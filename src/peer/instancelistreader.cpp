#include "peer/instancelistreader.h"

#include "peer/platformtaskhandler.h"

#include <asio/steady_timer.hpp>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>

namespace Samphirepitch
{

InstanceListReader::InstanceListReader(const PlatformContext &context)
    : m_context(context)
    , m_backoff(context.random)
{
}

asio::awaitable<void> InstanceListReader::run()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
        timer.expires_after(co_await step());
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<std::chrono::milliseconds> InstanceListReader::step()
{
    const TimePoint now = m_context.clock.now();
    if (!m_context.handler.watchesPlatform(now) || now < m_next) {
        co_return PlatformContext::pollInterval;
    }
    const Result<std::vector<ListedInstance>> list = co_await m_context.platform.instances(now + PlatformContext::callTimeout);
    if (!list) {
        co_return m_backoff.nextDelay();
    }
    m_backoff.reset();
    const TimePoint readAt = m_context.clock.now();
    m_context.handler.platformAnswered(readAt);
    m_context.handler.instanceListRead(*list, readAt);
    m_next = readAt + m_context.handler.instanceListInterval();
    co_return PlatformContext::pollInterval;
}

} // namespace Samphirepitch
