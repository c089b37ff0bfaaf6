#pragma once

#include "core/clock.h"
#include "membership/memberview.h"
#include "membership/watcherselection.h"
#include "peer/message.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Samphirepitch
{

/**
 * Aggregates the rollout progress of the instances of a failure domain. Each instance combines the reports of its children in the
 * aggregation tree with its own status and sends the result to its parent, so the load of each instance is constant.
 */
class ProgressTree
{
public:
    /** Reports of a failure domain with at most this number of instances list each instance. */
    static constexpr std::size_t maxListedDomainSize = MessageLimits::reportedInstances;
    static constexpr std::size_t maxStragglers = 8; /**< instances that a report of a larger failure domain lists */
    static constexpr std::chrono::milliseconds reportTimeout { 15000 }; /**< age at which a report is ignored */

    /** @param self id of this instance */
    explicit ProgressTree(std::string self);

    /** Sets the status and the prepared generation of this instance. */
    void setOwnStatus(InstanceStatus status, std::uint64_t prepared);

    /** Stores the report of a child, in place of an earlier one. */
    void addReport(const std::string &child, GenerationReport report, TimePoint now);

    /** Removes the report of a child, for example after its link ended. */
    void removeReport(const std::string &child);

    /**
     * Combines the status of this instance with the reports of its children.
     * @param selection determines the children
     * @param domainSize number of instances in the failure domain that are not dead
     * @param now current time; reports older than reportTimeout are left out
     */
    GenerationReport combined(const WatcherSelection &selection, std::size_t domainSize, TimePoint now) const;

private:
    struct Child {
        GenerationReport report;
        TimePoint deadline;
    };

    std::string m_self;
    InstanceStatus m_ownStatus;
    std::uint64_t m_ownPrepared = 0;
    std::map<std::string, Child> m_children;
};

} // namespace Samphirepitch
