#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/random.h"
#include "load/arrivalschedule.h"
#include "load/groupstatistics.h"
#include "load/requesttracker.h"
#include "load/scenario.h"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace Samphirepitch
{

class CallerSocket;

/**
 * Runs the open-loop callers of one group. The send times of requests do not depend on responses, and latency counts from the
 * intended send time; otherwise a stalled service or caller would hide its own delay (coordinated omission).
 */
class CallerGroup
{
public:
    /** The phases of a run. */
    struct Times {
        TimePoint start;
        TimePoint sendEnd; /**< no new request is sent from here on */
        TimePoint drainEnd; /**< the run ends here even if requests are pending */
    };

    /**
     * Creates a group and opens its first flows.
     * @param executor runs the sockets and run(); has a single thread
     * @param clock gives the send and receive times; outlives the group
     * @param profile load that the callers offer
     * @param seed seed of all random decisions of the group
     * @return the group, or InputOutput if a socket cannot be opened
     */
    static Result<std::unique_ptr<CallerGroup>> open(
        asio::any_io_executor executor, const Clock &clock, const CallerProfile &profile, std::uint64_t seed);

    ~CallerGroup();

    /** Offers the load. Completes when all requests have ended, or at @c times.drainEnd, and closes all flows. */
    asio::awaitable<void> run(Times times);

    /** Returns the measurements so far. */
    const GroupStatistics &statistics() const;

private:
    CallerGroup(asio::any_io_executor executor, const Clock &clock, const CallerProfile &profile, std::uint64_t seed);

    Result<void> openFlow(std::size_t index);
    void closeFlows();
    void handleDatagram(std::uint64_t flow, Endpoint from, std::span<const char> datagram);
    void sendRequests(TimePoint now, TimePoint end);
    void sendRequest(const CallerRequest &request);
    void sendFeeds(TimePoint now);
    void replaceDueFlows(TimePoint now);
    void sendRepeatsAndExpire(TimePoint now);
    TimePoint nextWakeup(TimePoint now, const Times &times) const;

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    const CallerProfile m_profile;
    GroupStatistics m_statistics;
    RequestTracker m_tracker;
    SeededRandom m_random;
    std::unique_ptr<ArrivalSchedule> m_arrivals;
    std::vector<std::shared_ptr<CallerSocket>> m_sockets;
    std::uint64_t m_nextFlowNumber = 0;
    std::uint32_t m_nextRequestId = 0;
    std::uint64_t m_feedIndex = 0;
    TimePoint m_nextFeed = TimePoint::max();
    TimePoint m_nextReplacement = TimePoint::max();
    TimePoint m_nextCheck = TimePoint::max();
};

} // namespace Samphirepitch
