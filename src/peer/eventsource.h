#pragma once

#include "peer/event.h"

#include <cstdint>
#include <vector>

namespace Samphirepitch
{

/** The time line of this instance. */
class EventSource
{
public:
    virtual ~EventSource() = default;

    /** Lists at most @p limit events with a sequence above @p sequence, sorted by sequence. */
    virtual std::vector<Event> eventsAfter(std::uint64_t sequence, std::size_t limit) const = 0;
};

} // namespace Samphirepitch
