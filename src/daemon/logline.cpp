#include "daemon/logline.h"

#include <algorithm>
#include <cstdio>

namespace Samphirepitch
{

namespace
{

// Keeps log lines readable and prevents a single field from filling the log.
constexpr std::size_t maxValueSize = 1024; // bytes

bool needsNoQuotes(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte > ' ' && byte < 0x7f && character != '"' && character != '=' && character != '\\';
}

void appendEscaped(std::string &text, char character)
{
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        text += '\\';
        text += character;
    } else if (character == '\n') {
        text += "\\n";
    } else if (byte < ' ' || byte == 0x7f) {
        char code[8];
        std::snprintf(code, sizeof code, "\\x%02x", byte);
        text += code;
    } else {
        text += character;
    }
}

} // namespace

std::string_view severityName(EventSeverity severity)
{
    switch (severity) {
    case EventSeverity::Info:
        return "info";
    case EventSeverity::Warning:
        return "warning";
    case EventSeverity::Error:
        return "error";
    }
    return "unknown";
}

std::string formatWallTime(WallTime time)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(time - day);
    char text[40];
    std::snprintf(text, sizeof text, "%04d-%02u-%02uT%02ld:%02ld:%02ld.%03ldZ", static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()), static_cast<long>(clock.hours().count()),
        static_cast<long>(clock.minutes().count()), static_cast<long>(clock.seconds().count()),
        static_cast<long>(clock.subseconds().count()));
    return text;
}

std::string escapeLogValue(std::string_view value)
{
    const std::string_view prefix = value.substr(0, maxValueSize);
    if (!prefix.empty() && prefix.size() == value.size() && std::all_of(prefix.begin(), prefix.end(), needsNoQuotes)) {
        return std::string(prefix);
    }
    std::string text = "\"";
    for (const char character : prefix) {
        appendEscaped(text, character);
    }
    return text + (prefix.size() < value.size() ? "...\"" : "\"");
}

std::string formatLogLine(EventSeverity severity, WallTime time, std::string_view name, const std::vector<EventField> &fields)
{
    std::string line = "event=" + escapeLogValue(name);
    line.append(" level=").append(severityName(severity)).append(" time=").append(formatWallTime(time));
    for (const EventField &field : fields) {
        line.append(" ").append(field.key).append("=").append(escapeLogValue(field.value));
    }
    return line;
}

} // namespace Samphirepitch
