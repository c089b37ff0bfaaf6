#include "lib/lagginginstances.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch::StandIn
{

void LaggingInstances::changeLag(std::chrono::milliseconds lag)
{
    m_lag = lag;
}

void LaggingInstances::put(ListedInstance instance, TimePoint now)
{
    const std::string id = instance.id;
    add({ now + m_lag, id, std::move(instance) });
}

void LaggingInstances::remove(const std::string &id, TimePoint now)
{
    add({ now + m_lag, id, std::nullopt });
}

void LaggingInstances::add(Change change)
{
    // After the lag was shortened, a change still takes effect after those made before it.
    if (!m_changes.empty()) {
        change.visibleFrom = std::max(change.visibleFrom, m_changes.back().visibleFrom);
    }
    m_changes.push_back(std::move(change));
}

std::vector<ListedInstance> LaggingInstances::visible(TimePoint now)
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
