#include "daemon/loopmonitor.h"

#include <asio/steady_timer.hpp>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>

namespace Samphirepitch
{

namespace
{

constexpr std::chrono::milliseconds checkInterval { 100 };

// Half of the heartbeat interval; longer pauses delay heartbeats.
constexpr std::chrono::milliseconds minReportedPause { 250 };

} // namespace

LoopMonitor::LoopMonitor(const Clock &clock, EventSink &events, LatencyHistogram &lateness)
    : m_clock(clock)
    , m_events(events)
    , m_lateness(lateness)
{
}

asio::awaitable<Result<void>> LoopMonitor::run()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        const TimePoint due = m_clock.now() + checkInterval;
        timer.expires_after(checkInterval);
        co_await timer.async_wait(asio::use_awaitable);
        check(due, m_clock.now());
    }
}

void LoopMonitor::check(TimePoint due, TimePoint now)
{
    m_lateness.record(now - due);
    if (now - due >= minReportedPause) {
        const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(now - due);
        m_events.record(EventSeverity::Warning, "process_paused", { { "pause_ms", std::to_string(pause.count()) } });
    }
}

} // namespace Samphirepitch
