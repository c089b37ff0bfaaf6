#pragma once

#include "core/error.h"

#include <chrono>
#include <string>
#include <string_view>

namespace Samphirepitch::StandIn
{

/** Injected faults of one backend server; they can be changed at run time. */
struct BackendFaults {
    bool freeze = false; /**< receives and sends nothing until the fault is switched off */
    bool draining = false; /**< the health endpoint says "draining"; requests are still served */
    double latePercent = 0; /**< share of responses that are delayed, 0..100 */
    std::chrono::milliseconds lateDelay { 1000 }; /**< delay of these responses */
    double duplicatePercent = 0; /**< share of responses that are sent twice, 0..100 */
    double crossedPercent = 0; /**< share of responses that are also sent to the caller of the previous request, 0..100 */
    double lostPercent = 0; /**< share of responses that are not sent, 0..100 */
    std::string healthState; /**< state that the health endpoint reports, with a load of 0; empty: the actual state and load */
    bool healthDown = false; /**< the health endpoint closes connections without a response */
    std::chrono::milliseconds healthLag { 0 }; /**< maximum age of the state that the health endpoint reports */

    /** Returns all fields as a JSON object, with durations in milliseconds. */
    std::string toJson() const;

    /**
     * Returns a copy in which the fields of a JSON object are replaced.
     * @param json object with any of the fields that toJson() writes
     * @return the copy; Malformed if @p json is no object, or has an unknown field or an invalid value
     */
    Result<BackendFaults> withChanges(std::string_view json) const;

    friend bool operator==(const BackendFaults &, const BackendFaults &) = default;
};

} // namespace Samphirepitch::StandIn
