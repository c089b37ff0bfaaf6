#pragma once

#include "daemon/keytable.h"
#include "daemon/settings.h"

namespace Samphirepitch
{

/** Returns the specifications of all settings, which are used for reading, checking and the reference page. */
const std::vector<KeyRow<Settings::Fields>> &settingsTable();

/** Returns the content of the reference page docs/configuration.md. */
std::string settingsReference();

} // namespace Samphirepitch
