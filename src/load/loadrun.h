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

    /** Offers the load and returns when it is over. @return InputOutput if a socket cannot be opened */
    Result<void> run();

    /** Returns the report, which refers to this object. */
    Report report() const;

private:
    Scenario m_scenario;
    const Clock &m_clock;
    std::vector<std::unique_ptr<CallerGroup>> m_groups;
};

} // namespace Samphirepitch
