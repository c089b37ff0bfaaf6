#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** The importance of an event to an operator. */
enum class EventSeverity {
    Info, /**< An expected step of normal operation. */
    Warning, /**< Something was refused, lost or late; the instance keeps serving. */
    Error, /**< An operator has to act. */
};

/** One key=value pair of an event. */
struct EventField {
    std::string key; /**< lower-case words joined by underscores */
    std::string value;

    friend bool operator==(const EventField &, const EventField &) = default;
};

/** Records the events of an instance for the log and for the event history. An implementation must limit the rate of each event name. */
class EventSink
{
public:
    virtual ~EventSink() = default;

    /**
     * Records an event.
     * @param severity importance of the event to an operator
     * @param name stable event name of lower-case words joined by underscores, such as "generation_adopted"
     * @param fields details of the event; must not contain payload bytes of callers
     */
    virtual void record(EventSeverity severity, std::string_view name, std::vector<EventField> fields) = 0;
};

} // namespace Samphirepitch
