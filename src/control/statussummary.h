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

/** What the platform and the failure domains report about an instance. */
struct InstanceReport {
    std::string id;
    std::string failureDomain;
    std::string state; /**< member state reported by its failure domain; empty if the domain does not name it */
    bool listed = false; /**< whether the instance is in the platform's instance list */
    std::optional<std::uint64_t>
        generation; /**< generation reported as in force; a lower bound if inferred from the totals of its failure domain */
    std::optional<WallTime> lastHeard; /**< when its failure domain last heard from it */

    friend bool operator==(const InstanceReport &, const InstanceReport &) = default;
};

/** Shows whether a generation is in force on all instances that may hold flows. */
class StatusSummary
{
public:
    /**
     * Merges the platform's instance list with the status reports of the failure domains.
     *
     * The report of a large failure domain names only lagging instances. If all instances of the domain have reported, a listed
     * instance that the domain does not name is assumed to have the lowest generation of the domain.
     * @param generation generation to check
     * @param listed the platform's instance list; empty if it is unknown
     * @param domains status objects of the failure domains
     * @param unreadable errors of status objects that could not be read; if there is one, no generation is in force everywhere
     */
    StatusSummary(
        std::uint64_t generation, std::vector<ListedInstance> listed, std::vector<DomainStatus> domains, std::vector<Error> unreadable);

    std::uint64_t generation() const;

    /** Returns all known instances, sorted by instance id. */
    const std::vector<InstanceReport> &instances() const;

    const std::vector<DomainStatus> &domains() const;
    const std::vector<Error> &unreadable() const;

    /**
     * Returns the instances that may hold flows and have not reported the generation as in force. An instance that its peers consider
     * dead and that is no longer in the platform's list holds no flows.
     */
    std::vector<InstanceReport> laggingInstances() const;

    /** Returns the failure domains whose totals show that the generation is not in force on all of their instances. */
    std::vector<std::string> laggingDomains() const;

    /** Returns whether all known instances and failure domains have reported the generation. False if no instance is known. */
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
