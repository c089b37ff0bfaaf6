#pragma once

#include "daemon/keytable.h"
#include "load/scenario.h"

namespace Samphirepitch
{

/** Returns the top-level keys of a scenario file. */
const std::vector<KeyRow<Scenario::Fields>> &scenarioTable();

/** Returns the keys of a [[group]] of a scenario file. */
const std::vector<KeyRow<CallerProfile>> &callerProfileTable();

} // namespace Samphirepitch
