#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "objectstore/platform.h"
#include "peer/domainstatus.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** What is known of one instance. */
struct InstanceReport {
    std::string id;
    std::string failureDomain;
    std::string state; /**< as reported by its failure domain; empty if only listed by the platform */
    bool listed = false; /**< the platform's instance list has it */
    std::optional<std::uint64_t> generation; /**< generation reported as in force; of a summed report, at least this one */
    std::optional<WallTime> lastHeard; /**< when its failure domain last heard of it */

    friend bool operator==(const InstanceReport &, const InstanceReport &) = default;
};

/** Whether a generation is in force on all instances that may hold flows. */
class StatusSummary
{
public:
    /**
     * Merges what the platform lists with what failure domains report.
     *
     * A large failure domain names only the instances that lag. A listed instance that it does not name counts with the
     * lowest generation of the domain, if all instances of the domain have reported.
     * @param generation the generation that is asked for
     * @param listed the platform's instance list
     * @param domains the status objects of the failure domains
     * @param unreadable status objects that could not be read; with one of them nothing is in force everywhere
     */
    StatusSummary(
        std::uint64_t generation, std::vector<ListedInstance> listed, std::vector<DomainStatus> domains, std::vector<Error> unreadable);

    std::uint64_t generation() const;

    /** Returns all known instances, sorted by id. */
    const std::vector<InstanceReport> &instances() const;

    const std::vector<DomainStatus> &domains() const;
    const std::vector<Error> &unreadable() const;

    /**
     * Returns the instances that may hold flows and have not reported the generation as in force. An instance that is dead for its
     * peers and that the platform's list no longer names is gone.
     */
    std::vector<InstanceReport> laggingInstances() const;

    /** Returns the failure domains whose own count shows that the generation is not in force on all their instances. */
    std::vector<std::string> laggingDomains() const;

    /** Returns whether every known instance and failure domain has reported the generation; false if no instance is known. */
    bool inForceEverywhere() const;

private:
    void inferGenerations(const DomainStatus &domain);
    bool mayHoldFlows(const InstanceReport &instance) const;

    std::uint64_t m_generation;
    std::vector<InstanceReport> m_instances;
    std::vector<DomainStatus> m_domains;
    std::vector<Error> m_unreadable;
    bool m_hasPlatformList;
};

} // namespace Samphirepitch
