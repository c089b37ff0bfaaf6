#pragma once

#include "load/groupstatistics.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Presents the figures of a run. */
class Report
{
public:
    /**
     * @param scenario name of the scenario
     * @param seed of the run
     */
    Report(std::string scenario, std::uint64_t seed);

    /** Adds the figures of a group, which have to outlive the report. */
    void add(const GroupStatistics &statistics);

    /** Returns a table for people: one line for each group and one for all. */
    std::string table() const;

    /** Returns all figures as JSON. */
    std::string json() const;

    /** Returns the line "load: served=N ..."; not_run includes refusals because of overload. */
    std::string summaryLine() const;

    /** Returns whether no invariant was seen broken: no broken flow, wrong service, crossed answer, contradiction or extra run. */
    bool hasNoViolations() const;

private:
    GroupStatistics total() const;

    std::string m_scenario;
    std::uint64_t m_seed;
    std::vector<const GroupStatistics *> m_groups;
};

} // namespace Samphirepitch
