#pragma once

#include "peer/event.h"

#include <cstdint>
#include <vector>

namespace Samphirepitch
{

/** Gives access to the recent events of this instance. */
class EventSource
{
public:
    virtual ~EventSource() = default;

    /**
     * Lists events in ascending order of their sequence number.
     * @param sequence only events with a higher sequence number are listed
     * @param limit maximum number of events
     */
    virtual std::vector<Event> eventsAfter(std::uint64_t sequence, std::size_t limit) const = 0;
};

} // namespace Samphirepitch
