#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstddef>

namespace Samphirepitch
{

/**
 * Limits the requests of one service that this instance may have in flight, so that all instances together keep the slots of the servers
 * busy and let few requests wait there. A limit of requests in flight follows the speed of the servers by itself: slower servers return
 * fewer responses, and each response allows one further request.
 */
class InFlightLimit
{
public:
    /**
     * Requests in flight per slot. The half above 1 waits at the servers, so that a slot that becomes free has work at once; the time that
     * a response is on its way is about as long as half of a request.
     */
    static constexpr double inFlightPerSlot = 1.5;
    /**
     * Requests that may be in flight when the instance starts, before anything shows how many other instances share the servers. All
     * instances may start at once, with the backlog of their clients.
     */
    static constexpr double initialWindow = 2;
    /** The window grows while responses take less than this many times as long as the shortest average. */
    static constexpr double growthTolerance = 2;
    /** The window has no effect any more from this size on. */
    static constexpr double maxWindow = 64;
    /** Weight of one response in the average response time. */
    static constexpr double averageStep = 0.1;
    /** Response time that is assumed before the first response: a typical request of the deployments. */
    static constexpr std::chrono::milliseconds defaultResponseTime { 25 };

    /**
     * Sets the share of this instance.
     * @param slots requests that the usable servers can run at the same time
     * @param share the part of the slots that this instance may use, from 0 to 1
     */
    void setShare(double slots, double share);

    /**
     * Records a response.
     * @param responseTime from the request to the response, as this instance sees it
     * @param networkTime the part of it that is spent on the way
     */
    void recordResponse(std::chrono::nanoseconds responseTime, std::chrono::nanoseconds networkTime);

    /** Returns whether a request may start although @p inFlight requests of this instance are in flight. */
    bool mayStart(std::size_t inFlight, TimePoint now) const;

    /** Records that a request started while @p inFlight others were in flight. */
    void recordStart(std::size_t inFlight, TimePoint now);

    /** Returns whether the window still limits the instance more than its share does. */
    bool isStarting() const;

    /** Returns the requests that may be in flight on average. May be below 1. */
    double limit() const;

    /** Returns the average response time, or defaultResponseTime if there was no response yet. */
    std::chrono::nanoseconds responseTime() const;

    /** Returns the part of the response time that a request spends at its server, from 0.1 to 1. */
    double serverPart() const;

    /** Returns the requests a second that the limit allows. */
    double requestsPerSecond() const;

private:
    double m_share = maxWindow; // requests at the servers
    double m_window = initialWindow;
    double m_responseMs = 0; // 0 before the first response
    double m_networkMs = 0;
    double m_shortestMs = 0; // the shortest average response time
    TimePoint m_nextExtra {}; // when a request above the whole part of the limit may start
};

} // namespace Samphirepitch
