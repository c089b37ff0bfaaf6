#pragma once

#include "daemon/keytable.h"
#include "load/scenario.h"

namespace Samphirepitch
{

/** The keys at the top of a scenario file. */
const std::vector<KeyRow<Scenario::Fields>> &scenarioTable();

/** The keys of a [[group]] of a scenario file. */
const std::vector<KeyRow<CallerProfile>> &callerProfileTable();

} // namespace Samphirepitch
