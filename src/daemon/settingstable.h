#pragma once

#include "daemon/keytable.h"
#include "daemon/settings.h"

namespace Samphirepitch
{

/** The keys of the settings: reading, checking and the reference page use this table. */
const std::vector<KeyRow<Settings::Fields>> &settingsTable();

/** Returns the reference page docs/configuration.md. */
std::string settingsReference();

} // namespace Samphirepitch
