#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "load/scenario.h"

namespace Samphirepitch
{

/** The times at which the requests of a group have to be sent; they do not depend on answers. */
class ArrivalSchedule
{
public:
    /** Random intervals with exponential distribution around the profile's rates, from @p start on. */
    ArrivalSchedule(const CallerProfile &profile, TimePoint start, RandomSource &random);

    /** Returns the time of the next request; TimePoint::max() if the group sends none. */
    TimePoint next() const;

    /** Moves on to the request after the next. */
    void advance();

    /** Returns whether @p time lies in the second half of a swing. */
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
