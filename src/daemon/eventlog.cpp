#include "daemon/eventlog.h"

#include "daemon/logline.h"
#include "peer/message.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr std::chrono::seconds windowLength { 1 };

// Event names are constants in the code. The bound guards against names that are built from input.
constexpr std::size_t maxNames = 1024;

// Limits an event to the size that MessageCodec accepts, so that it can be sent in a message.
std::vector<EventField> truncated(std::vector<EventField> fields)
{
    fields.resize(std::min(fields.size(), MessageLimits::eventFields));
    for (EventField &field : fields) {
        field.value.resize(std::min(field.value.size(), MessageLimits::eventText));
    }
    return fields;
}

} // namespace

EventLog::EventLog(std::string instance, const Clock &clock, HybridClock &hybrid, LogWriter &writer, Limits limits)
    : m_instance(std::move(instance))
    , m_clock(clock)
    , m_hybrid(hybrid)
    , m_writer(writer)
    , m_limits(limits)
{
}

void EventLog::record(EventSeverity severity, std::string_view name, std::vector<EventField> fields)
{
    RateWindow &window = currentWindow(name);
    if (window.count >= m_limits.rate) {
        ++window.suppressed;
        ++m_suppressed;
        return;
    }
    ++window.count;
    append(severity, name, std::move(fields));
}

void EventLog::writeMetrics(MetricWriter &writer) const
{
    writer.counter("samphirepitch_events_total", "Events recorded.", {}, m_sequence);
    writer.counter("samphirepitch_events_dropped_total", "Events dropped from the full event buffer.", {}, m_dropped);
    writer.counter("samphirepitch_events_suppressed_total", "Events suppressed because their name exceeded its rate.", {}, m_suppressed);
}

void EventLog::setRate(std::uint64_t rate)
{
    m_limits.rate = rate;
}

void EventLog::reportSuppressed()
{
    for (auto &[name, window] : m_windows) {
        if (m_clock.now() >= window.end) {
            closeWindow(name, window);
        }
    }
}

std::vector<Event> EventLog::eventsAfter(std::uint64_t sequence, std::size_t limit) const
{
    const auto first = std::find_if(m_events.begin(), m_events.end(), [=](const auto &event) { return event.sequence > sequence; });
    const auto count = std::min<std::size_t>(limit, static_cast<std::size_t>(m_events.end() - first));
    return { first, first + static_cast<std::ptrdiff_t>(count) };
}

std::uint64_t EventLog::lastSequence() const
{
    return m_sequence;
}

std::uint64_t EventLog::dropped() const
{
    return m_dropped;
}

std::uint64_t EventLog::suppressed() const
{
    return m_suppressed;
}

EventLog::RateWindow &EventLog::currentWindow(std::string_view name)
{
    auto found = m_windows.find(name);
    if (found == m_windows.end()) {
        const std::string key(m_windows.size() < maxNames ? name : std::string_view("other"));
        found = m_windows.try_emplace(key, RateWindow { m_clock.now() + windowLength }).first;
    }
    if (m_clock.now() >= found->second.end) {
        closeWindow(found->first, found->second);
        found->second.end = m_clock.now() + windowLength;
    }
    return found->second;
}

void EventLog::closeWindow(const std::string &name, RateWindow &window)
{
    window.count = 0;
    if (window.suppressed > 0) {
        const std::uint64_t count = std::exchange(window.suppressed, 0);
        append(EventSeverity::Warning, "events_suppressed", { { "name", name }, { "count", std::to_string(count) } });
    }
}

void EventLog::append(EventSeverity severity, std::string_view name, std::vector<EventField> fields)
{
    const WallTime wall = m_clock.wallNow();
    Event event { m_instance, ++m_sequence, m_hybrid.tick(wall), severity, std::string(name), truncated(std::move(fields)) };
    std::vector<EventField> logged { { "instance", m_instance }, { "sequence", std::to_string(event.sequence) } };
    logged.insert(logged.end(), event.fields.begin(), event.fields.end());
    m_writer.write(severity, formatLogLine(severity, wall, name, logged));
    if (m_events.size() >= m_limits.capacity) {
        m_events.pop_front();
        ++m_dropped;
    }
    m_events.push_back(std::move(event));
}

} // namespace Samphirepitch
