#pragma once

#include "core/error.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace Samphirepitch::StandIn
{

/** Faults and limits of the platform stand-in that can be changed at run time. */
struct PlatformFaults {
    bool outage = false; /**< answers every call with 503 and ends waiting watches */
    std::chrono::milliseconds delay { 0 }; /**< before each call takes effect */
    std::uint64_t loseAnswers = 0; /**< this many next writes take effect and get no answer */
    std::uint64_t dropWrites = 0; /**< this many next writes get no answer and have no effect */
    std::chrono::milliseconds watchDelay { 0 }; /**< between a change and the answer to a watch */
    std::chrono::milliseconds instanceLag { 0 }; /**< between a change of an instance and its visibility */
    std::uint64_t writesPerSecond = 400; /**< calls above it are answered with 429 */
    std::uint64_t readsPerSecond = 2000; /**< the same; watches and lists count as reads */

    std::string toJson() const;

    /** Returns a copy changed by the fields of a JSON object. @return the copy, or Malformed */
    Result<PlatformFaults> changedBy(std::string_view json) const;

    friend bool operator==(const PlatformFaults &, const PlatformFaults &) = default;
};

} // namespace Samphirepitch::StandIn
