#include "lib/delayedinstancelist.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch::StandIn
{

void DelayedInstanceList::setLag(std::chrono::milliseconds lag)
{
    m_lag = lag;
}

void DelayedInstanceList::put(ListedInstance instance, TimePoint now)
{
    const std::string id = instance.id;
    add({ now + m_lag, id, std::move(instance) });
}

void DelayedInstanceList::remove(const std::string &id, TimePoint now)
{
    add({ now + m_lag, id, std::nullopt });
}

void DelayedInstanceList::add(Change change)
{
    // Keeps the order of the changes when the delay was shortened between them.
    if (!m_changes.empty()) {
        change.visibleFrom = std::max(change.visibleFrom, m_changes.back().visibleFrom);
    }
    m_changes.push_back(std::move(change));
}

std::vector<ListedInstance> DelayedInstanceList::visibleAt(TimePoint now)
{
    while (!m_changes.empty() && m_changes.front().visibleFrom <= now) {
        Change change = std::move(m_changes.front());
        m_changes.pop_front();
        if (change.instance) {
            m_visible[change.id] = std::move(*change.instance);
        } else {
            m_visible.erase(change.id);
        }
    }
    std::vector<ListedInstance> list;
    for (const auto &[id, instance] : m_visible) {
        list.push_back(instance);
    }
    return list;
}

} // namespace Samphirepitch::StandIn
