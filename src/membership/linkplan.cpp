#include "membership/linkplan.h"

#include "membership/watcherselection.h"

#include <algorithm>
#include <vector>

namespace Samphirepitch
{

namespace
{

/** Returns the sorted ids of the members of the failure domain that are not dead. */
std::vector<std::string> ringMembers(const MemberView &view, std::string_view failureDomain)
{
    std::vector<std::string> ring;
    for (const Member &member : view.members()) {
        if (member.state() != MemberState::Dead && member.failureDomain() == failureDomain) {
            ring.push_back(member.id());
        }
    }
    return ring;
}

void addNeighbours(const std::vector<std::string> &ring, std::string_view self, std::set<std::string> &targets)
{
    const auto found = std::lower_bound(ring.begin(), ring.end(), self);
    if (found == ring.end() || *found != self) {
        return;
    }
    const auto position = static_cast<std::size_t>(found - ring.begin());
    for (std::size_t distance = 1; distance <= LinkPlan::ringNeighbours; ++distance) {
        targets.insert(ring[(position + distance) % ring.size()]);
        targets.insert(ring[(position + ring.size() - distance) % ring.size()]);
    }
}

void addTreeEdges(const WatcherSelection &selection, std::string_view self, std::set<std::string> &targets)
{
    const std::string parent = selection.parent(self);
    if (!parent.empty()) {
        targets.insert(parent);
    }
    for (const std::string &child : selection.children(self)) {
        targets.insert(child);
    }
}

void addWatchersOfOtherDomains(const MemberView &view, std::string_view ownDomain, std::set<std::string> &targets)
{
    std::set<std::string> domains;
    for (const Member &member : view.members()) {
        domains.insert(member.failureDomain());
    }
    for (const std::string &domain : domains) {
        if (domain != ownDomain) {
            for (const std::string &watcher : WatcherSelection(view, domain).watchers()) {
                targets.insert(watcher);
            }
        }
    }
}

} // namespace

std::set<std::string> LinkPlan::targets(const MemberView &view, std::string_view self, std::string_view failureDomain)
{
    std::set<std::string> targets;
    const std::vector<std::string> ring = ringMembers(view, failureDomain);
    const WatcherSelection selection(view, failureDomain);
    if (ring.size() <= fullMeshSize) {
        targets.insert(ring.begin(), ring.end());
    } else {
        addNeighbours(ring, self, targets);
        addTreeEdges(selection, self, targets);
    }
    if (selection.isWatcher(self)) {
        addWatchersOfOtherDomains(view, failureDomain, targets);
        const std::vector<std::string> watchers = selection.watchers();
        targets.insert(watchers.begin(), watchers.end());
    }
    targets.erase(std::string(self));
    return targets;
}

} // namespace Samphirepitch
