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

/** Returns @p time in UTC in ISO 8601 format, such as "2026-01-01T00:00:00.000Z". */
std::string formatWallTime(WallTime time);

/**
 * Returns a value for a log line of key=value pairs. A value of printable characters other than spaces, quotes, backslashes and
 * equals signs is unchanged. Other values are quoted, with backslash escapes for quotes, backslashes and control characters. A long
 * value is cut and ends in "...".
 */
std::string escapeLogValue(std::string_view value);

/** Returns the log line of an event without a line end: event name, level, time and fields as key=value pairs. */
std::string formatLogLine(EventSeverity severity, WallTime time, std::string_view name, const std::vector<EventField> &fields);

} // namespace Samphirepitch
