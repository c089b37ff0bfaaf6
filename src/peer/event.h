#pragma once

#include "core/eventsink.h"
#include "core/hybridclock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** One event of the time line of an instance. */
struct Event {
    std::string instance; /**< id of the instance that recorded it */
    std::uint64_t sequence = 0; /**< rises by one with each event of the instance; starts at 1 */
    HybridTime at; /**< orders the events of several instances causally */
    EventSeverity severity = EventSeverity::Info;
    std::string name; /**< stable name, such as "generation_adopted" */
    std::vector<EventField> fields;

    friend bool operator==(const Event &, const Event &) = default;
};

} // namespace Samphirepitch
