#pragma once

#include "core/error.h"

#include <chrono>
#include <string>
#include <string_view>

namespace Samphirepitch::StandIn
{

/** Injected faults of the fabric; they apply to each datagram in both directions. */
struct FabricFaults {
    double lossPercent = 0; /**< share of datagrams that are dropped, 0..100 */
    double duplicationPercent = 0; /**< share of datagrams that are sent twice, 0..100 */
    double reorderingPercent = 0; /**< share of datagrams that are delayed, 0..100 */
    std::chrono::milliseconds reorderingDelay { 5 }; /**< delay of these datagrams */

    /** Returns all fields as a JSON object, with durations in milliseconds. */
    std::string toJson() const;

    /**
     * Returns a copy in which the fields of a JSON object are replaced.
     * @param json object with any of the fields that toJson() writes
     * @return the copy; Malformed if @p json is no object, or has an unknown field or an invalid value
     */
    Result<FabricFaults> withChanges(std::string_view json) const;

    friend bool operator==(const FabricFaults &, const FabricFaults &) = default;
};

} // namespace Samphirepitch::StandIn
