#pragma once

#include <cstdint>
#include <string>

namespace Samphirepitch::StandIn
{

/** Counters of the calls that the platform stand-in has received, by kind and result. A watch counts once, however long it waits. */
struct CallCounters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
    std::uint64_t instanceLists = 0;
    std::uint64_t conflicts = 0; /**< writes refused with 412 because of a version conflict */
    std::uint64_t rateLimited = 0; /**< calls refused with 429 */
    std::uint64_t refusedByOutage = 0; /**< calls refused with 503 */
    std::uint64_t lostResponses = 0; /**< writes that took effect but got no response */
    std::uint64_t droppedWrites = 0; /**< writes that had no effect and got no response */
    std::uint64_t peakReads = 0; /**< reads, watches and lists in the busiest second, refused ones included */
    std::uint64_t peakWrites = 0; /**< writes in the busiest second, refused ones included */

    std::string toJson() const;

    friend bool operator==(const CallCounters &, const CallCounters &) = default;
};

} // namespace Samphirepitch::StandIn
