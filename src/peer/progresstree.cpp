#include "peer/progresstree.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Samphirepitch
{

namespace
{

/** Removes all instances but the ones that lag most. */
void keepStragglers(GenerationReport &report)
{
    std::vector<InstanceStatus> &instances = report.instances;
    std::erase_if(instances, [&report](const InstanceStatus &instance) { return instance.inForce >= report.highestHeld; });
    std::sort(instances.begin(), instances.end(), [](const InstanceStatus &left, const InstanceStatus &right) {
        return std::tie(left.inForce, left.id) < std::tie(right.inForce, right.id);
    });
    if (instances.size() > ProgressTree::maxStragglers) {
        instances.resize(ProgressTree::maxStragglers);
    }
}

} // namespace

ProgressTree::ProgressTree(std::string self)
    : m_self(std::move(self))
{
}

void ProgressTree::setOwnStatus(InstanceStatus status, std::uint64_t prepared)
{
    m_ownStatus = std::move(status);
    m_ownPrepared = prepared;
}

void ProgressTree::addReport(const std::string &child, GenerationReport report, TimePoint now)
{
    m_children.insert_or_assign(child, Child { std::move(report), now + reportTimeout });
}

void ProgressTree::removeReport(const std::string &child)
{
    m_children.erase(child);
}

GenerationReport ProgressTree::combined(const WatcherSelection &selection, std::size_t domainSize, TimePoint now) const
{
    GenerationReport result { m_ownPrepared, m_ownStatus.inForce, m_ownStatus.held, 1, { m_ownStatus } };
    for (const auto &[id, child] : m_children) {
        if (now >= child.deadline || selection.parent(id) != m_self) {
            continue;
        }
        result.lowestPrepared = std::min(result.lowestPrepared, child.report.lowestPrepared);
        result.lowestActive = std::min(result.lowestActive, child.report.lowestActive);
        result.highestHeld = std::max(result.highestHeld, child.report.highestHeld);
        result.count += child.report.count;
        result.instances.insert(result.instances.end(), child.report.instances.begin(), child.report.instances.end());
    }
    if (domainSize > maxListedDomainSize || result.instances.size() > maxListedDomainSize) {
        keepStragglers(result);
    }
    return result;
}

} // namespace Samphirepitch
