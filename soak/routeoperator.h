#pragma once

#include "core/random.h"
#include "soak/scheduledstep.h"

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace Samphirepitch::Soak
{

/** The operator who removes a route that clients use and puts it back, by versions of the configuration. */
class RouteOperator
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /**
     * @param random stream of random numbers of its own, so that the rest of a seed's schedule stays the same
     * @param writeConfiguration writes a version of the configuration, with or without the route; calls recordVersion()
     */
    RouteOperator(SeededRandom random, std::function<void()> writeConfiguration);

    /**
     * Draws the times at which the route is removed and put back. Most removals are shorter than the time in which a version has to be in
     * force, some are longer.
     * @param end time before which the route is back for good
     * @return the steps, which refer to this operator
     */
    std::vector<ScheduledStep> plan(std::chrono::milliseconds end);

    /** Returns whether versions are written without the route. */
    bool isRemoved() const;

    /** Records that at @p time the store accepted the version that is in force, or holds it again after a return from an older copy. */
    void recordVersion(Time time);

    /** Records that at @p time the store returned from an older copy, which may have the route or not. */
    void recordStoreReturn(Time time);

    /** Returns since when the store holds a version without the route, or nothing if the route is there. */
    std::optional<Time> removedSince() const;

    /** Returns whether the store held a version without the route at any time from @p time on. */
    bool wasRemovedSince(Time time) const;

private:
    void setRemoved(bool removed);

    SeededRandom m_random;
    std::function<void()> m_writeConfiguration;
    bool m_removed = false;
    Time m_removedAt {}; // when the store accepted the last version without the route
    Time m_lastRemoved {}; // last time at which the store held none with it
};

} // namespace Samphirepitch::Soak
