#pragma once

#include "core/clock.h"

#include <algorithm>
#include <string>

namespace Samphirepitch
{

/** When a view of the store was confirmed last. */
class ViewAge
{
public:
    /** The view was complete at @p time. */
    void confirm(TimePoint time)
    {
        m_confirmed = std::max(m_confirmed, time);
    }

    /** Returns when the view was complete last; the beginning of the clock if never. */
    TimePoint confirmed() const
    {
        return m_confirmed;
    }

    /** Returns the age; that of the clock if the view was never complete. */
    std::chrono::nanoseconds age(TimePoint now) const
    {
        return now - m_confirmed;
    }

    /** Returns the age in milliseconds for logs, or "never". */
    std::string text(TimePoint now) const
    {
        if (m_confirmed == TimePoint()) {
            return "never";
        }
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_confirmed).count());
    }

    /** Returns the age in seconds, or -1 if the view was never confirmed. */
    double seconds(TimePoint now) const
    {
        return m_confirmed == TimePoint() ? -1 : std::chrono::duration<double>(now - m_confirmed).count();
    }

private:
    TimePoint m_confirmed {};
};

} // namespace Samphirepitch
