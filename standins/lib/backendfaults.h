#pragma once

#include "core/error.h"

#include <chrono>
#include <string>
#include <string_view>

namespace Samphirepitch::StandIn
{

/** Faults of one backend server of the stand-in; they can be changed at run time. */
struct BackendFaults {
    bool freeze = false; /**< reads nothing and answers nothing until it is switched off */
    bool draining = false; /**< the health endpoint says "draining"; requests are still served */
    double latePercent = 0; /**< answers that are held back */
    std::chrono::milliseconds lateBy { 1000 }; /**< for how long they are held back */
    double duplicatePercent = 0; /**< answers that are sent twice */
    double crossedPercent = 0; /**< answers that are also sent to the caller of another request */
    double lostPercent = 0; /**< answers that are not sent */
    std::string healthState; /**< what the health endpoint claims, with no load; empty for the truth */
    bool healthDown = false; /**< the health endpoint closes connections without an answer */
    std::chrono::milliseconds healthLag { 0 }; /**< how old the state at the health endpoint may be */

    std::string toJson() const;

    /** Returns a copy changed by the fields of a JSON object. @return the copy, or Malformed */
    Result<BackendFaults> changedBy(std::string_view json) const;

    friend bool operator==(const BackendFaults &, const BackendFaults &) = default;
};

} // namespace Samphirepitch::StandIn
