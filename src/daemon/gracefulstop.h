#pragma once

#include "core/clock.h"

#include <cstddef>

namespace Samphirepitch
{

/** Decides when a leaving instance may end. */
class GracefulStop
{
public:
    /** What the plan says now. */
    enum class Decision {
        Wait, /**< Requests are pending, or the fabric may still send packets here. */
        End, /**< Nothing is pending and the linger time is over. */
        EndAtDeadline, /**< The deadline passed before. */
    };

    /**
     * @param begun when the stop began
     * @param timeout time until the deadline
     * @param linger time for which nothing has to be pending
     */
    GracefulStop(TimePoint start, std::chrono::nanoseconds timeout, std::chrono::nanoseconds linger);

    TimePoint deadline() const;

    /** Takes the number of pending requests at @p now. */
    Decision update(TimePoint now, std::size_t pending);

private:
    const TimePoint m_deadline;
    const std::chrono::nanoseconds m_linger;
    TimePoint m_lingerEnd;
};

} // namespace Samphirepitch
