#pragma once

#include "objectstore/platform.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Samphirepitch::StandIn
{

/** The eventually consistent instance list of the platform: each change becomes visible after a delay. Changes become visible in the order
 * in which they were made. */
class DelayedInstanceList
{
public:
    /** Sets the delay of the changes that follow. */
    void setLag(std::chrono::milliseconds lag);

    /** Adds or replaces an instance; the change is visible from @p now plus the delay. */
    void put(ListedInstance instance, TimePoint now);

    /** Removes an instance; the change is visible from @p now plus the delay. */
    void remove(const std::string &id, TimePoint now);

    /** Returns the instances that are visible at @p now, sorted by id. @p now must not decrease between calls. */
    std::vector<ListedInstance> visibleAt(TimePoint now);

private:
    struct Change {
        TimePoint visibleFrom;
        std::string id;
        std::optional<ListedInstance> instance; /**< unset if the instance was removed */
    };

    void add(Change change);

    std::chrono::milliseconds m_lag { 0 };
    std::deque<Change> m_changes;
    std::map<std::string, ListedInstance> m_visible;
};

} // namespace Samphirepitch::StandIn
