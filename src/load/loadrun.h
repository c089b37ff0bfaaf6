#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "load/callergroup.h"
#include "load/report.h"
#include "load/scenario.h"

#include <memory>
#include <vector>

namespace Samphirepitch
{

/** Runs all groups of a scenario on one thread. */
class LoadRun
{
public:
    LoadRun(Scenario scenario, const Clock &clock);

    /** Offers the load; blocks until all groups have ended. @return nothing, or InputOutput if a socket cannot be opened */
    Result<void> run();

    /** Returns the report of the run. It refers to this object, which has to outlive it. */
    Report report() const;

private:
    Scenario m_scenario;
    const Clock &m_clock;
    std::vector<std::unique_ptr<CallerGroup>> m_groups;
};

} // namespace Samphirepitch
