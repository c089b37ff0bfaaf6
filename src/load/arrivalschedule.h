#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "load/scenario.h"

namespace Samphirepitch
{

/** Gives the times at which the requests of a group have to be sent. The times do not depend on responses (open loop). */
class ArrivalSchedule
{
public:
    /**
     * Draws exponentially distributed intervals, so that requests arrive as a Poisson process.
     * @param profile its rates, in requests per second, and its swing period
     * @param start begin of the first swing; no request is due before it
     * @param random source of the intervals; outlives the schedule
     */
    ArrivalSchedule(const CallerProfile &profile, TimePoint start, RandomSource &random);

    /** Returns the time of the next request; TimePoint::max() if the group sends none. */
    TimePoint next() const;

    /** Advances next() by one request. */
    void advance();

    /** Returns whether @p time lies in the second half of a swing, in which the peak rate applies. */
    bool isPeak(TimePoint time) const;

private:
    double rateAt(TimePoint time) const;
    TimePoint phaseEnd(TimePoint time) const;

    const CallerProfile m_profile;
    const TimePoint m_start;
    RandomSource &m_random;
    TimePoint m_next;
};

} // namespace Samphirepitch
