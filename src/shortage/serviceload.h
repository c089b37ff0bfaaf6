#pragma once

#include "core/clock.h"
#include "shortage/inflightlimit.h"
#include "shortage/requestqueue.h"
#include "shortage/shortagemonitor.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace Samphirepitch
{

/** Counts of requests of one priority. */
struct AdmissionCounts {
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0; /**< at once or after a wait */
    std::uint64_t held = 0;
    std::uint64_t refusedNoRoom = 0; /**< more requests wait than can be served in time */
    std::uint64_t refusedLate = 0; /**< the caller's time has passed */
    TimePoint lastAdmitted {};
};

/** A figure that follows its last values with a delay, so that single bursts don't change it much. */
class SmoothedValue
{
public:
    /** Records that the figure had a value since the last call. @param smoothing time after which about two thirds of a step show */
    void record(double value, std::chrono::nanoseconds elapsed, std::chrono::nanoseconds smoothing);

    double value() const;

private:
    double m_value = 0;
};

/** The load of one service as this instance sees it, and what it may send there. */
struct ServiceLoadState {
    /** The requests in flight are averaged over this time: an instance sees about ten requests in it. */
    static constexpr std::chrono::milliseconds smoothing { 300 };
    /** The rate of requests is averaged over this time. */
    static constexpr std::chrono::milliseconds demandSmoothing { 1000 };

    std::string name;
    bool hasRules = true; /**< whether the configuration has several priorities for it; otherwise only what is left of it is kept */
    std::uint32_t mostUrgent = 0; /**< the most urgent priority of its routes */
    std::chrono::milliseconds target { 0 }; /**< the shortest target latency of its routes; 0 if unknown */
    std::uint32_t usableSlots = 0;
    std::size_t inFlight = 0; /**< requests of this instance */
    std::size_t urgentInFlight = 0; /**< those of them with the most urgent priority */
    std::size_t arrivals = 0; /**< since the last tick */
    double networkMs = 0; /**< average time on the way to a server and back */
    SmoothedValue averageInFlight;
    SmoothedValue averageUrgent;
    SmoothedValue requestsPerSecond;
    ShortageMonitor monitor;
    ShortageMonitor urgentMonitor; /**< whether the most urgent requests alone use up the servers */
    InFlightLimit limit;
    RequestQueue queue;
    std::map<std::uint32_t, AdmissionCounts> counts; /**< by priority */

    /** Returns whether requests other than the most urgent ones are limited. */
    bool isLimited(TimePoint now) const;

    /** Returns whether a request of a priority may start. */
    bool mayStart(std::uint32_t priority, TimePoint now) const;

    /** Returns the average number of requests of this instance that are at the servers. */
    double atServers() const;
};

} // namespace Samphirepitch
