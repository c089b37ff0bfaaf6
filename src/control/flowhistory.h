#pragma once

#include "peer/event.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** Parses a log line of an instance; text before "event=" is ignored. @return the event, or nothing if it is no such line */
std::optional<Event> parseLogLine(std::string_view line);

/**
 * Selects the events of all instances that explain what happened to a flow: decisions about the flow, status changes of its servers,
 * and events that affected the views of the instances that decided.
 */
class FlowHistory
{
public:
    /** Time in milliseconds before the first and after the last event of the flow in which events of servers and views are selected. */
    static constexpr std::uint64_t marginMs = 5000;

    /**
     * @param events events of all instances, in any order
     * @param flow flow as in log lines: "client:port>service:port"
     */
    FlowHistory(const std::vector<Event> &events, std::string_view flow);

    /** Returns the selected events, oldest first; empty if the flow has no events. */
    const std::vector<Event> &events() const;

private:
    std::vector<Event> m_events;
};

} // namespace Samphirepitch
