#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <set>

namespace Samphirepitch::StandIn
{

/** A condition that coroutines can wait for. All calls must be made on one thread; a waiting coroutine may outlive this object. */
class ChangeSignal
{
public:
    ChangeSignal();

    /**
     * Waits for the next notify().
     * @param executor runs the waiting coroutine
     * @param timeout longest wait
     * @return true after notify(), false after @p timeout
     */
    asio::awaitable<bool> wait(asio::any_io_executor executor, std::chrono::milliseconds timeout);

    /** Wakes all waiting coroutines. */
    void notify();

private:
    using Waiters = std::set<asio::steady_timer *>;

    // Shared with waiting coroutines, since those may be destroyed after this object.
    std::shared_ptr<Waiters> m_waiters;
};

/** Suspends the calling coroutine for @p duration; returns at once if it is 0 or less. */
asio::awaitable<void> pauseFor(asio::any_io_executor executor, std::chrono::milliseconds duration);

} // namespace Samphirepitch::StandIn
