#pragma once

#include "core/clock.h"

#include <optional>
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
        m_confirmed = time;
    }

    /** Returns the age in milliseconds for logs, or "never". */
    std::string text(TimePoint now) const
    {
        if (!m_confirmed) {
            return "never";
        }
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_confirmed).count());
    }

    /** Returns the age in seconds, or -1 if the view was never confirmed. */
    double seconds(TimePoint now) const
    {
        return m_confirmed ? std::chrono::duration<double>(now - *m_confirmed).count() : -1;
    }

private:
    std::optional<TimePoint> m_confirmed;
};

} // namespace Samphirepitch
