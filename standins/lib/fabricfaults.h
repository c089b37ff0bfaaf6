#pragma once

#include "core/error.h"

#include <chrono>
#include <string>
#include <string_view>

namespace Samphirepitch::StandIn
{

/** Faults of the fabric stand-in, for each datagram in both directions. */
struct FabricFaults {
    double lossPercent = 0;
    double duplicationPercent = 0;
    double reorderingPercent = 0; /**< datagrams that are held back */
    std::chrono::milliseconds reorderingDelay { 5 }; /**< for how long they are held back */

    std::string toJson() const;

    /** Returns a copy changed by the fields of a JSON object. @return the copy, or Malformed */
    Result<FabricFaults> changedBy(std::string_view json) const;

    friend bool operator==(const FabricFaults &, const FabricFaults &) = default;
};

} // namespace Samphirepitch::StandIn
