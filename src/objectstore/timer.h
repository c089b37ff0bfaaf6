#pragma once

#include "core/clock.h"

#include <asio/awaitable.hpp>

namespace Samphirepitch
{

/** Lets a coroutine wait; drivers and tests give one that follows their own clock. */
class Timer
{
public:
    virtual ~Timer() = default;

    /** Returns at @p time or later. */
    virtual asio::awaitable<void> waitUntil(TimePoint time) = 0;
};

/** Waits by the steady clock of the operating system, on the executor of the waiting coroutine. */
class SteadyTimer : public Timer
{
public:
    asio::awaitable<void> waitUntil(TimePoint time) override;
};

} // namespace Samphirepitch
