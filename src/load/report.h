#pragma once

#include "load/groupstatistics.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Formats the measurements of a run. */
class Report
{
public:
    /**
     * @param scenario name of the scenario
     * @param seed seed of the run
     */
    Report(std::string scenario, std::uint64_t seed);

    /** Adds a group, whose statistics have to outlive the report. */
    void add(const GroupStatistics &statistics);

    /** Returns a text table with one line for each group and one for the total. */
    std::string table() const;

    /** Returns all measurements as JSON. */
    std::string json() const;

    /** Returns the line "load: served=N ..."; its not_run includes refusals because of overload. */
    std::string summaryLine() const;

    /** Returns whether the callers saw no broken flow, wrong service, crossed response, contradiction or extra run. */
    bool hasNoViolations() const;

private:
    GroupStatistics total() const;

    std::string m_scenario;
    std::uint64_t m_seed;
    std::vector<const GroupStatistics *> m_groups;
};

} // namespace Samphirepitch
