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

/** A Timer that uses the steady clock of the system and the executor of the calling coroutine. */
class SteadyTimer : public Timer
{
public:
    asio::awaitable<void> waitUntil(TimePoint time) override;
};

} // namespace Samphirepitch
