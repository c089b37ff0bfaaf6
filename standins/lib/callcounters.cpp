#include "lib/callcounters.h"

#include <nlohmann/json.hpp>

namespace Samphirepitch::StandIn
{

std::string CallCounters::toJson() const
{
    return nlohmann::json {
        { "reads", reads }, { "writes", writes }, { "watches", watches }, { "lists", lists }, { "instance_lists", instanceLists },
        { "conflicts", conflicts }, { "rate_limited", rateLimited }, { "refused_by_outage", refusedByOutage },
        { "lost_answers", lostResponses }, { "dropped_writes", droppedWrites }, { "peak_reads_per_second", peakReads },
        { "peak_writes_per_second", peakWrites }
    }.dump();
}

} // namespace Samphirepitch::StandIn
