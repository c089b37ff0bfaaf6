#pragma once

#include "peer/event.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** Reads a line that an instance logged; anything before "event=" is passed over. @return nothing if it is no such line */
std::optional<Event> parseLogLine(std::string_view line);

/**
 * Selects what explains the fate of a flow from the events of all instances: what was decided about it, what was believed of its
 * servers meanwhile, and what happened to the views of the instances that decided.
 */
class FlowHistory
{
public:
    /** Events about a server or a view count this long before the flow's first and after its last event. */
    static constexpr std::uint64_t marginMs = 5000;

    /** @param flow as in the logs: "client:port>service:port" */
    FlowHistory(const std::vector<Event> &events, std::string_view flow);

    /** Returns the selected events, oldest first; empty if no event names the flow. */
    const std::vector<Event> &events() const;

private:
    std::vector<Event> m_events;
};

} // namespace Samphirepitch
