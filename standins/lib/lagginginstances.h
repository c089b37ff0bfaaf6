#pragma once

#include "objectstore/platform.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Samphirepitch::StandIn
{

/** The platform's list of instances; a change becomes visible after a lag. */
class LaggingInstances
{
public:
    /** Changes the lag of later changes. */
    void changeLag(std::chrono::milliseconds lag);

    /** Adds or replaces an instance at @p now. */
    void put(ListedInstance instance, TimePoint now);

    /** Removes an instance at @p now. */
    void remove(const std::string &id, TimePoint now);

    /** Returns the list as visible at @p now, sorted by instance id. */
    std::vector<ListedInstance> visible(TimePoint now);

private:
    struct Change {
        TimePoint visibleFrom;
        std::string id;
        std::optional<ListedInstance> instance; /**< nothing for a removal */
    };

    void add(Change change);

    std::chrono::milliseconds m_lag { 0 };
    std::deque<Change> m_changes;
    std::map<std::string, ListedInstance> m_visible;
};

} // namespace Samphirepitch::StandIn
