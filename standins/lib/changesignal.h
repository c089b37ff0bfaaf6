#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <set>

namespace Samphirepitch::StandIn
{

/** Wakes coroutines that wait for a change. */
class ChangeSignal
{
public:
    ChangeSignal();

    /** Waits for the next notify(). @return false if @p timeout passed first */
    asio::awaitable<bool> wait(asio::any_io_executor executor, std::chrono::milliseconds timeout);

    /** Wakes all waiting coroutines. */
    void notify();

private:
    using Waiters = std::set<asio::steady_timer *>;

    // Shared with waiting coroutines, which may be destroyed after this object.
    std::shared_ptr<Waiters> m_waiters;
};

/** Suspends the calling coroutine for @p duration. */
asio::awaitable<void> pauseFor(asio::any_io_executor executor, std::chrono::milliseconds duration);

} // namespace Samphirepitch::StandIn
