#pragma once

#include "core/clock.h"

#include <cstddef>
#include <optional>
#include <string>

namespace Samphirepitch
{

/** What the reports of other instances say about the load of a service, as means over those instances. */
struct ServiceLoadEstimate {
    double inFlight = 0; /**< requests at the servers, for each instance */
    double requestsPerSecond = 0; /**< requests that arrive, for each instance */
    std::size_t reports = 0; /**< number of instances that the means are over; above 0 */
    TimePoint oldest {}; /**< when the oldest of these reports was made */

    friend bool operator==(const ServiceLoadEstimate &, const ServiceLoadEstimate &) = default;
};

/** Gives what other instances report about the load. */
class LoadView
{
public:
    virtual ~LoadView() = default;

    /** Returns the estimate for a service, or nothing if no report is recent enough. */
    virtual std::optional<ServiceLoadEstimate> serviceLoad(const std::string &service, TimePoint now) const = 0;
};

} // namespace Samphirepitch
