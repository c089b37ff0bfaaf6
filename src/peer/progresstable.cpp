#include "peer/progresstable.h"

#include <algorithm>
#include <limits>

namespace Samphirepitch
{

bool ProgressTable::update(const DomainProgress &progress)
{
    const auto found = m_domains.find(progress.failureDomain);
    if (found == m_domains.end()) {
        if (m_domains.size() >= MessageLimits::domains) {
            return false;
        }
        m_domains.emplace(progress.failureDomain, progress);
    } else if (progress.reportedAtMs <= found->second.reportedAtMs) {
        return false;
    } else {
        const bool same = progress.prepared == found->second.prepared && progress.active == found->second.active;
        found->second = progress;
        if (same) {
            return false;
        }
    }
    m_changed.insert(progress.failureDomain);
    return true;
}

bool ProgressTable::hasChanges() const
{
    return !m_changed.empty();
}

std::vector<DomainProgress> ProgressTable::takeChanges()
{
    std::vector<DomainProgress> changes;
    for (const std::string &domain : m_changed) {
        changes.push_back(m_domains.at(domain));
    }
    m_changed.clear();
    return changes;
}

std::vector<DomainProgress> ProgressTable::all() const
{
    std::vector<DomainProgress> result;
    for (const auto &[domain, progress] : m_domains) {
        result.push_back(progress);
    }
    return result;
}

const DomainProgress *ProgressTable::progress(const std::string &failureDomain) const
{
    const auto found = m_domains.find(failureDomain);
    return found == m_domains.end() ? nullptr : &found->second;
}

std::uint64_t ProgressTable::lowestPrepared(const MemberView &view) const
{
    std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
    for (const Member &member : view.members()) {
        if (member.state() != MemberState::Dead) {
            const DomainProgress *known = progress(member.failureDomain());
            lowest = std::min(lowest, known ? known->prepared : 0);
        }
    }
    return lowest;
}

} // namespace Samphirepitch
