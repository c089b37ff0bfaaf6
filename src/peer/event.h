#pragma once

#include "core/eventsink.h"
#include "core/hybridclock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** One event that an instance recorded. */
struct Event {
    std::string instance; /**< id of the instance that recorded it */
    std::uint64_t sequence = 0; /**< number of the event on its instance; starts at 1 and increases by 1 */
    HybridTime at; /**< gives a causal order of the events of several instances */
    EventSeverity severity = EventSeverity::Info;
    std::string name; /**< name that never changes, such as "generation_adopted" */
    std::vector<EventField> fields;

    friend bool operator==(const Event &, const Event &) = default;
};

} // namespace Samphirepitch
