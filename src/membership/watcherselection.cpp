#include "membership/watcherselection.h"

#include "core/hash.h"

#include <algorithm>

namespace Samphirepitch
{

WatcherSelection::WatcherSelection(const MemberView &view, std::string_view failureDomain)
{
    static const std::uint64_t watchKey = hash64("watch");
    for (const Member *member : view.ranked(watchKey, view.members().size(), failureDomain)) {
        m_order.push_back(member->id());
    }
}

std::vector<std::string> WatcherSelection::watchers() const
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(watchersPerDomain, m_order.size()));
    return { m_order.begin(), m_order.begin() + count };
}

bool WatcherSelection::isWatcher(std::string_view id) const
{
    return position(id) < std::min(watchersPerDomain, m_order.size());
}

std::string WatcherSelection::parent(std::string_view id) const
{
    const std::size_t index = position(id);
    if (index == 0 || m_order.empty()) {
        return {};
    }
    return index < m_order.size() ? m_order[(index - 1) / treeArity] : m_order.front();
}

std::vector<std::string> WatcherSelection::children(std::string_view id) const
{
    std::vector<std::string> result;
    const std::size_t index = position(id);
    if (index < m_order.size()) {
        const std::size_t first = index * treeArity + 1;
        for (std::size_t child = first; child < std::min(first + treeArity, m_order.size()); ++child) {
            result.push_back(m_order[child]);
        }
    }
    return result;
}

std::size_t WatcherSelection::size() const
{
    return m_order.size();
}

std::size_t WatcherSelection::position(std::string_view id) const
{
    return static_cast<std::size_t>(std::find(m_order.begin(), m_order.end(), id) - m_order.begin());
}

} // namespace Samphirepitch
