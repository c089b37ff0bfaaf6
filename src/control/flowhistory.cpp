#include "control/flowhistory.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <set>

namespace Samphirepitch
{

namespace
{

constexpr std::array<std::string_view, 2> serverEvents { "server_standing", "server_listed_change" };
constexpr std::array<std::string_view, 8> viewEvents { "store_call_failed", "store_regained", "store_history_gone", "reader_passed_over",
    "peer_pull_failed", "configuration_in_force", "instance_started", "stop_begun" };

/** Parses a key=value pair at the start of @p rest and removes it. @return nothing at the end of the line or at a syntax error */
std::optional<EventField> parseField(std::string_view &rest)
{
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
        return std::nullopt;
    }
    EventField field { std::string(rest.substr(0, equals)), {} };
    rest.remove_prefix(equals + 1);
    if (rest.empty() || rest.front() != '"') {
        const std::size_t end = std::min(rest.find(' '), rest.size());
        field.value = std::string(rest.substr(0, end));
        rest.remove_prefix(end);
        return field;
    }
    std::size_t at = 1;
    while (at < rest.size() && rest[at] != '"') {
        at += rest[at] == '\\' ? 1 : 0;
        if (at < rest.size()) {
            field.value += rest[at++];
        }
    }
    rest.remove_prefix(std::min(at + 1, rest.size()));
    return field;
}

std::uint64_t parseTime(const std::string &text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    unsigned hour = 0;
    unsigned minute = 0;
    unsigned second = 0;
    unsigned millisecond = 0;
    constexpr int fieldCount = 7;
    if (std::sscanf(text.c_str(), "%d-%u-%uT%u:%u:%u.%uZ", &year, &month, &day, &hour, &minute, &second, &millisecond) != fieldCount) {
        return 0;
    }
    using namespace std::chrono;
    const auto time = sys_days(std::chrono::year(year) / month / day) + hours(hour) + minutes(minute) + seconds(second);
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(time.time_since_epoch()).count()) + millisecond;
}

EventSeverity parseSeverity(std::string_view name)
{
    if (name == "warning") {
        return EventSeverity::Warning;
    }
    return name == "error" ? EventSeverity::Error : EventSeverity::Info;
}

const std::string *findValue(const Event &event, std::string_view key)
{
    const auto found = std::find_if(event.fields.begin(), event.fields.end(), [key](const EventField &field) { return field.key == key; });
    return found == event.fields.end() ? nullptr : &found->value;
}

template<std::size_t Size>
bool contains(const std::array<std::string_view, Size> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

std::optional<Event> parseLogLine(std::string_view line)
{
    const std::size_t begin = line.find("event=");
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    line.remove_prefix(begin);
    Event event;
    while (const auto field = parseField(line)) {
        if (field->key == "event") {
            event.name = field->value;
        } else if (field->key == "level") {
            event.severity = parseSeverity(field->value);
        } else if (field->key == "time") {
            event.at.wallMs = parseTime(field->value);
        } else if (field->key == "instance") {
            event.instance = field->value;
        } else if (field->key == "sequence") {
            event.sequence = std::strtoull(field->value.c_str(), nullptr, 10);
        } else {
            event.fields.push_back(*field);
        }
    }
    return event.name.empty() || event.at.wallMs == 0 ? std::nullopt : std::optional(event);
}

FlowHistory::FlowHistory(const std::vector<Event> &events, std::string_view flow)
{
    std::set<std::string> servers;
    std::set<std::string> instances;
    std::uint64_t first = UINT64_MAX;
    std::uint64_t last = 0;
    for (const Event &event : events) {
        const std::string *const eventFlow = findValue(event, "flow");
        if (eventFlow == nullptr || *eventFlow != flow) {
            continue;
        }
        first = std::min(first, event.at.wallMs);
        last = std::max(last, event.at.wallMs);
        instances.insert(event.instance);
        if (const std::string *const server = findValue(event, "server")) {
            servers.insert(*server);
        }
    }
    for (const Event &event : events) {
        const std::string *const eventFlow = findValue(event, "flow");
        const std::string *const server = findValue(event, "server");
        const bool isInTimeRange = event.at.wallMs + marginMs >= first && event.at.wallMs <= last + marginMs;
        const bool isServerEvent = server != nullptr && servers.contains(*server) && contains(serverEvents, event.name);
        const bool isViewEvent = instances.contains(event.instance) && contains(viewEvents, event.name);
        if ((eventFlow != nullptr && *eventFlow == flow) || (isInTimeRange && last > 0 && (isServerEvent || isViewEvent))) {
            m_events.push_back(event);
        }
    }
    std::stable_sort(m_events.begin(), m_events.end(), [](const Event &left, const Event &right) { return left.at < right.at; });
}

const std::vector<Event> &FlowHistory::events() const
{
    return m_events;
}

} // namespace Samphirepitch
