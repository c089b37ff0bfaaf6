#pragma once

#include <cstdint>
#include <string>

namespace Samphirepitch::StandIn
{

/** How many calls the platform stand-in has received, by kind, and how it answered; a waiting watch is one call. */
struct CallCounters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
    std::uint64_t instanceLists = 0;
    std::uint64_t conflicts = 0; /**< writes answered with 412 */
    std::uint64_t rateLimited = 0; /**< calls answered with 429 */
    std::uint64_t refusedByOutage = 0; /**< calls answered with 503 */
    std::uint64_t lostAnswers = 0; /**< writes that took effect and got no answer */
    std::uint64_t droppedWrites = 0; /**< writes without effect that got no answer */
    std::uint64_t peakReads = 0; /**< calls of the busiest second that count as reads */
    std::uint64_t peakWrites = 0; /**< writes of the busiest second */

    std::string toJson() const;

    friend bool operator==(const CallCounters &, const CallCounters &) = default;
};

} // namespace Samphirepitch::StandIn
