#pragma once

#include "core/error.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace Samphirepitch::StandIn
{

/** Injected faults and rate limits of the platform; they can be changed at run time. */
struct PlatformFaults {
    bool outage = false; /**< all calls get 503, also waiting watches */
    std::chrono::milliseconds delay { 0 }; /**< time between the arrival of a call and its effect */
    std::uint64_t loseResponses = 0; /**< number of next writes that take effect but get no response */
    std::uint64_t dropWrites = 0; /**< number of next writes that have no effect and get no response */
    std::chrono::milliseconds watchDelay { 0 }; /**< time between a change and the response to a watch */
    std::chrono::milliseconds instanceLag { 0 }; /**< time between a change of an instance and its visibility in the list */
    std::uint64_t writesPerSecond = 400; /**< writes above this rate get 429 */
    std::uint64_t readsPerSecond = 2000; /**< reads above this rate get 429; watches and lists count as reads */

    /** Returns all fields as a JSON object, with durations in milliseconds. */
    std::string toJson() const;

    /**
     * Returns a copy in which the fields of a JSON object are replaced.
     * @param json object with any of the fields that toJson() writes
     * @return the copy; Malformed if @p json is no object, or has an unknown field or a value of the wrong type
     */
    Result<PlatformFaults> withChanges(std::string_view json) const;

    friend bool operator==(const PlatformFaults &, const PlatformFaults &) = default;
};

} // namespace Samphirepitch::StandIn
