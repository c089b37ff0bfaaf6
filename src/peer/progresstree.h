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
 * Collects how far the instances of a failure domain are with the newest generation: each instance combines the reports of
 * its children in the aggregation tree with its own state and tells its parent, so that the load of each is constant.
 */
class ProgressTree
{
public:
    /** Failure domains of at most this size name each instance. */
    static constexpr std::size_t maxListedDomainSize = MessageLimits::reportedInstances;
    static constexpr std::size_t maxStragglers = 8; /**< instances that a report of a larger failure domain names */
    static constexpr std::chrono::milliseconds reportTimeout { 15000 }; /**< an older report does not count */

    explicit ProgressTree(std::string self);

    /** Sets the state of this instance. */
    void setOwnStatus(InstanceStatus status, std::uint64_t prepared);

    /** Takes the report of a child. */
    void addReport(const std::string &child, GenerationReport report, TimePoint now);

    /** Drops the report of a child whose link ended. */
    void removeReport(const std::string &child);

    /** Combines the own state with the reports of the members that report to this instance by @p selection. */
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
