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
     * Requests in flight per slot. No instance knows all requests at a server, so they spread over the servers at random. With servers of
     * two slots, 2.5 for each slot leave 2% of the slots idle and put more than ten requests on 1% of the servers; 1.5 leave 13% idle.
     */
    static constexpr double maxInFlightPerSlot = 2.5;
    /**
     * The part of the shortest target latency that requests may spend at a server. The wait there costs nobody the target, and the rest is
     * for the way and for the time that they waited in the instance. Slow servers get fewer requests per slot for this reason.
     */
    static constexpr double targetPart = 0.6;
    /**
     * If fewer requests per slot than this may be in flight for the target, the servers are so slow that waiting in the instance only makes
     * responses later: the limit then has no effect.
     */
    static constexpr double minUsefulPerSlot = 1.5;
    /**
     * Requests that may be in flight when the instance starts, before anything shows how many other instances share the servers. All
     * instances may start at once, with the backlog of their clients. With two servers of two slots for each instance, this fills the
     * slots and a part of the queues of the servers.
     */
    static constexpr double initialWindow = 8;
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
     * @param load requests of all instances at the servers, for each slot
     * @param target the shortest target latency of the requests; 0 if unknown
     */
    void setShare(double slots, double share, double load, std::chrono::nanoseconds target);

    /**
     * Records the response to a request.
     * @param inFlightTime from the start of the request, with the opening of its flow, to the response
     * @param serverTime the part of it that the request spent at its server
     */
    void recordResponse(std::chrono::nanoseconds inFlightTime, std::chrono::nanoseconds serverTime);

    /** Returns whether a request may start although @p inFlight requests of this instance are in flight. */
    bool mayStart(std::size_t inFlight, TimePoint now) const;

    /** Records that a request started while @p inFlight others were in flight. */
    void recordStart(std::size_t inFlight, TimePoint now);

    /** Returns whether the window still holds. */
    bool isStarting() const;

    /** Returns whether requests that wait for the limit can still meet their target; see minUsefulPerSlot. */
    bool isUseful() const;

    /** Returns the requests that may be in flight on average. May be below 1. */
    double limit() const;

    /** Returns the average time for which a request is in flight, or defaultResponseTime if there was no response yet. */
    std::chrono::nanoseconds responseTime() const;

    /** Returns the part of that time which a request spends at its server, from 0.1 to 1. */
    double serverPart() const;

    /** Returns the requests a second that the limit allows. */
    double requestsPerSecond() const;

private:
    std::chrono::nanoseconds pause(double fraction) const;

    double m_share = maxWindow; // requests at the servers
    bool m_isUseful = true; // whether the limit helps to meet the target
    double m_window = initialWindow;
    double m_inFlightMs = 0; // 0 before the first response
    double m_serverMs = 0;
    double m_shortestMs = 0; // the shortest average of m_inFlightMs
    TimePoint m_lastExtra {}; // when the last request above the whole part of the limit started
};

} // namespace Samphirepitch
