#pragma once

#include "core/clock.h"
#include "objectstore/timer.h"

namespace Samphirepitch::Tests
{

/** A timer that advances the manual clock to the end of each wait and returns at once. */
class FakeTimer : public Timer
{
public:
    explicit FakeTimer(ManualClock &clock)
        : m_clock(clock)
    {
    }

    asio::awaitable<void> waitUntil(TimePoint time) override
    {
        if (time > m_clock.now()) {
            m_clock.advance(time - m_clock.now());
        }
        co_return;
    }

private:
    ManualClock &m_clock;
};

} // namespace Samphirepitch::Tests
