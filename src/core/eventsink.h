#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** How much an event matters to an operator. */
enum class EventSeverity {
    Info, /**< A normal step. */
    Warning, /**< Something was refused, lost or late; service goes on. */
    Error, /**< Something an operator has to act on. */
};

/** One key=value pair of an event. */
struct EventField {
    std::string key; /**< lower-case with underscores */
    std::string value;

    friend bool operator==(const EventField &, const EventField &) = default;
};

/** Takes the events of an instance for the log and for the time line. Implementations bound the rate of each event name. */
class EventSink
{
public:
    virtual ~EventSink() = default;

    /**
     * Records an event.
     * @param severity how much it matters
     * @param name stable lower-case name with underscores, such as "generation_adopted"
     * @param fields details; never payload bytes of callers
     */
    virtual void record(EventSeverity severity, std::string_view name, std::vector<EventField> fields) = 0;
};

} // namespace Samphirepitch
