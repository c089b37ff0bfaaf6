#include "peer/statuswriter.h"

#include "peer/platformtaskhandler.h"

#include <asio/steady_timer.hpp>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>

namespace Samphirepitch
{

namespace
{

/** Returns the status without its timestamps, which change constantly, so that statuses can be compared. */
DomainStatus withoutTimes(DomainStatus status)
{
    status.writtenAtMs = 0;
    for (InstanceStatus &instance : status.instances) {
        instance.lastHeardMs = 0;
    }
    return status;
}

} // namespace

StatusWriter::StatusWriter(const PlatformContext &context)
    : m_context(context)
    , m_backoff(context.random)
{
}

asio::awaitable<void> StatusWriter::run()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
        timer.expires_after(co_await step());
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<std::chrono::milliseconds> StatusWriter::step()
{
    std::optional<DomainStatus> status = m_context.handler.statusToWrite();
    if (!status || !isDue(*status, m_context.clock.now())) {
        co_return PlatformContext::pollInterval;
    }
    if (co_await write(std::move(*status))) {
        m_backoff.reset();
        co_return minInterval;
    }
    co_return minInterval + m_backoff.nextDelay();
}

asio::awaitable<bool> StatusWriter::write(DomainStatus status)
{
    const std::string key = "status/" + status.failureDomain;
    const TimePoint deadline = m_context.clock.now() + PlatformContext::callTimeout;
    const Result<std::uint64_t> version = co_await m_context.platform.write(key, status.encode(), m_version, deadline);
    if (version) {
        m_version = *version;
        m_written = withoutTimes(std::move(status));
        m_writtenAt = m_context.clock.now();
        m_context.handler.platformAnswered(m_writtenAt);
        co_return true;
    }
    // Another watcher wrote the status, or the reply to a write was lost. The next attempt expects the version that is stored now.
    const Result<PlatformObject> object = co_await m_context.platform.read(key, deadline);
    if (object) {
        m_version = object->version;
    } else if (object.error().kind() == ErrorKind::NotFound) {
        m_version = Platform::mustNotExist;
    }
    co_return false;
}

bool StatusWriter::isDue(const DomainStatus &status, TimePoint now) const
{
    if (now < m_writtenAt + minInterval) {
        return false;
    }
    return now >= m_writtenAt + maxInterval || withoutTimes(status) != m_written;
}

} // namespace Samphirepitch
