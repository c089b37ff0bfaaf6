#pragma once

#include "core/clock.h"

#include <algorithm>
#include <string>

namespace Samphirepitch
{

/** Keeps the time at which the instance's view of the store was last known to be complete, and computes its age. */
class ViewAge
{
public:
    /** Records that the view was complete at @p time. An earlier time than the recorded one is ignored. */
    void confirm(TimePoint time)
    {
        m_confirmed = std::max(m_confirmed, time);
    }

    /** Returns when the view was last complete, or TimePoint() if it never was. */
    TimePoint confirmed() const
    {
        return m_confirmed;
    }

    /** Returns the age of the view, or the time since TimePoint() if it was never complete. */
    std::chrono::nanoseconds age(TimePoint now) const
    {
        return now - m_confirmed;
    }

    /** Returns the age in milliseconds for log entries, or "never" if the view was never complete. */
    std::string text(TimePoint now) const
    {
        if (m_confirmed == TimePoint()) {
            return "never";
        }
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_confirmed).count());
    }

    /** Returns the age in seconds, or -1 if the view was never complete. */
    double seconds(TimePoint now) const
    {
        return m_confirmed == TimePoint() ? -1 : std::chrono::duration<double>(now - m_confirmed).count();
    }

private:
    TimePoint m_confirmed {};
};

} // namespace Samphirepitch
