#pragma once

#include "core/clock.h"

#include <cstddef>

namespace Samphirepitch
{

/** Decides when an instance that stops gracefully may end. */
class GracefulStop
{
public:
    /** Whether the instance may end now. */
    enum class Decision {
        Wait, /**< Requests are pending, or the fabric may still send packets to the instance. */
        End, /**< Nothing is pending and the linger time is over. */
        EndAtDeadline, /**< The deadline passed while requests were pending or the linger time was not over. */
    };

    /**
     * @param start when the stop began
     * @param timeout time from @p start to the deadline
     * @param linger time for which no request must have been pending before the instance ends
     */
    GracefulStop(TimePoint start, std::chrono::nanoseconds timeout, std::chrono::nanoseconds linger);

    TimePoint deadline() const;

    /** Updates the linger time with the number of pending requests at @p now. @return whether the instance may end */
    Decision update(TimePoint now, std::size_t pending);

private:
    const TimePoint m_deadline;
    const std::chrono::nanoseconds m_linger;
    TimePoint m_lingerEnd;
};

} // namespace Samphirepitch
