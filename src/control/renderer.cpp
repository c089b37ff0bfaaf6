#include "control/renderer.h"

#include <chrono>
#include <cstdio>

namespace Samphirepitch
{

std::string severityName(EventSeverity severity)
{
    switch (severity) {
    case EventSeverity::Info:
        return "info";
    case EventSeverity::Warning:
        return "warning";
    case EventSeverity::Error:
        break;
    }
    return "error";
}

std::string formatTime(WallTime time)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(time - day);
    char text[40] = "";
    std::snprintf(text, sizeof(text), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ", static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
        static_cast<int>(clock.minutes().count()), static_cast<int>(clock.seconds().count()), static_cast<int>(clock.subseconds().count()));
    return text;
}

} // namespace Samphirepitch
