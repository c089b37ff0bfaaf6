#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/eventsink.h"
#include "daemon/latencyhistogram.h"

#include <asio/awaitable.hpp>

namespace Samphirepitch
{

/** Measures how late the thread of the instance runs its tasks, and reports pauses of the process. */
class LoopMonitor
{
public:
    /** @param lateness gets how late each check ran */
    LoopMonitor(const Clock &clock, EventSink &events, LatencyHistogram &lateness);

    /** Checks at intervals until it is cancelled. */
    asio::awaitable<Result<void>> run();

    /** Records a check that was due at @p due and ran at @p now. */
    void check(TimePoint due, TimePoint now);

private:
    const Clock &m_clock;
    EventSink &m_events;
    LatencyHistogram &m_lateness;
};

} // namespace Samphirepitch
