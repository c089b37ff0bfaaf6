#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/eventsink.h"
#include "daemon/latencyhistogram.h"

#include <asio/awaitable.hpp>

namespace Samphirepitch
{

/** Measures how late the event loop runs its timers, and reports pauses of the process. */
class LoopMonitor
{
public:
    /**
     * @param clock must outlive this object
     * @param events receives an event for each pause; must outlive this object
     * @param lateness receives the delay of each check; must outlive this object
     */
    LoopMonitor(const Clock &clock, EventSink &events, LatencyHistogram &lateness);

    /** Checks at a fixed interval until the task is cancelled. */
    asio::awaitable<Result<void>> run();

    /** Records the delay of a check that was due at @p due and ran at @p now, and reports a long one as a pause of the process. */
    void check(TimePoint due, TimePoint now);

private:
    const Clock &m_clock;
    EventSink &m_events;
    LatencyHistogram &m_lateness;
};

} // namespace Samphirepitch
