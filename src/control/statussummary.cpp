#include "control/statussummary.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace Samphirepitch
{

namespace
{

std::optional<WallTime> toWallTime(std::uint64_t milliseconds)
{
    if (milliseconds == 0) {
        return std::nullopt;
    }
    return WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds)));
}

/** Adds a report about an instance. If there are several, the one that last heard from the instance is used. */
void addReport(InstanceReport &known, const DomainStatus &domain, const InstanceStatus &status)
{
    const auto lastHeard = toWallTime(status.lastHeardMs);
    if (!known.state.empty() && (!lastHeard || (known.lastHeard && *lastHeard < *known.lastHeard))) {
        return;
    }
    known.id = status.id;
    known.failureDomain = domain.failureDomain;
    known.state = memberStateName(status.state);
    known.generation = status.inForce;
    known.lastHeard = lastHeard;
}

} // namespace

StatusSummary::StatusSummary(
    std::uint64_t generation, std::vector<ListedInstance> listed, std::vector<DomainStatus> domains, std::vector<Error> unreadable)
    : m_generation(generation)
    , m_domains(std::move(domains))
    , m_unreadable(std::move(unreadable))
    , m_hasPlatformList(!listed.empty())
{
    std::map<std::string, InstanceReport> byId;
    for (const ListedInstance &instance : listed) {
        InstanceReport &report = byId[instance.id];
        report.id = instance.id;
        report.failureDomain = instance.failureDomain;
        report.listed = true;
    }
    for (const DomainStatus &domain : m_domains) {
        for (const InstanceStatus &status : domain.instances) {
            addReport(byId[status.id], domain, status);
        }
    }
    for (auto &[id, report] : byId) {
        m_instances.push_back(std::move(report));
    }
    for (const DomainStatus &domain : m_domains) {
        inferGenerations(domain);
    }
}

void StatusSummary::inferGenerations(const DomainStatus &domain)
{
    std::vector<InstanceReport *> unnamed;
    for (InstanceReport &report : m_instances) {
        if (report.failureDomain == domain.failureDomain && report.state.empty()) {
            unnamed.push_back(&report);
        }
    }
    // If more instances are listed than the domain counts, the domain does not know one of them yet.
    const std::size_t counted = domain.expected > domain.instances.size() ? domain.expected - domain.instances.size() : 0;
    if (domain.reported < domain.expected || unnamed.size() > counted) {
        return;
    }
    for (InstanceReport *report : unnamed) {
        report->generation = domain.lowestInForce;
        report->lastHeard = toWallTime(domain.writtenAtMs);
    }
}

std::uint64_t StatusSummary::generation() const
{
    return m_generation;
}

const std::vector<InstanceReport> &StatusSummary::instances() const
{
    return m_instances;
}

const std::vector<DomainStatus> &StatusSummary::domains() const
{
    return m_domains;
}

const std::vector<Error> &StatusSummary::unreadable() const
{
    return m_unreadable;
}

std::vector<InstanceReport> StatusSummary::laggingInstances() const
{
    std::vector<InstanceReport> found;
    std::copy_if(m_instances.begin(), m_instances.end(), std::back_inserter(found),
        [this](const InstanceReport &instance) { return mayHoldFlows(instance) && instance.generation.value_or(0) < m_generation; });
    return found;
}

bool StatusSummary::mayHoldFlows(const InstanceReport &instance) const
{
    // A dead instance that is still listed, or might be because the list is unknown, may be partitioned from its peers and still serve.
    return instance.listed || !m_hasPlatformList || instance.state != memberStateName(MemberState::Dead);
}

std::vector<std::string> StatusSummary::laggingDomains() const
{
    std::vector<std::string> found;
    for (const DomainStatus &domain : m_domains) {
        if (domain.reported < domain.expected || (domain.expected > 0 && domain.lowestInForce < m_generation)) {
            found.push_back(domain.failureDomain);
        }
    }
    return found;
}

bool StatusSummary::inForceEverywhere() const
{
    return !m_instances.empty() && m_unreadable.empty() && laggingInstances().empty() && laggingDomains().empty();
}

} // namespace Samphirepitch
