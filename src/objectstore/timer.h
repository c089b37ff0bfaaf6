#pragma once

#include "core/clock.h"

#include <asio/awaitable.hpp>

namespace Samphirepitch
{

/** Suspends coroutines until a time. Tests use an implementation that follows a simulated clock. */
class Timer
{
public:
    virtual ~Timer() = default;

    /** Must complete at @p time or later. */
    virtual asio::awaitable<void> waitUntil(TimePoint time) = 0;
};

/** A Timer that uses timers of the system and the executor of the calling coroutine. */
class SteadyTimer : public Timer
{
public:
    /** @param clock the clock to which the awaited times refer; must outlive the timer */
    explicit SteadyTimer(const Clock &clock);

    asio::awaitable<void> waitUntil(TimePoint time) override;

private:
    const Clock &m_clock;
};

} // namespace Samphirepitch
