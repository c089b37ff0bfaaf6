#pragma once

#include "core/clock.h"
#include "core/eventsink.h"

#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** Returns the lower-case name of a severity. */
std::string_view severityName(EventSeverity severity);

/** Returns @p time as "2026-01-01T00:00:00.000Z". */
std::string formatWallTime(WallTime time);

/**
 * Returns a value for a key=value line: as it is if it consists of harmless characters, otherwise in double quotes with
 * backslash escapes for quotes, backslashes and control bytes.
 */
std::string escapeLogValue(std::string_view value);

/** Returns the log line of an event, without a line end: event, level, time and the fields. */
std::string formatLogLine(EventSeverity severity, WallTime time, std::string_view name, const std::vector<EventField> &fields);

} // namespace Samphirepitch
