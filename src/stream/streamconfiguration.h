#pragma once

#include "core/endpoint.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** A service that gets a share of a route's new flows. */
struct RouteTarget {
    std::string service;
    std::uint32_t weight = 1; /**< share in relation to the other targets */

    friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/** Where new flows to one address go. */
struct StreamRoute {
    std::string name;
    Endpoint address; /**< the address that clients open flows to */
    std::vector<RouteTarget> targets; /**< at least one, with a total weight above 0 */
    bool idempotent = false; /**< clients repeat its requests after any failure */

    friend bool operator==(const StreamRoute &, const StreamRoute &) = default;
};

/** The routes of one version of the configuration. */
struct StreamConfiguration {
    std::uint64_t version = 0; /**< as the operator numbers it */
    std::uint64_t revision = 0; /**< of the store; a configuration with a higher one replaces one with a lower one */
    std::map<Endpoint, StreamRoute> routes; /**< by address */
    std::chrono::milliseconds idleTimeout { 0 }; /**< a flow without packets for this long may be forgotten */

    /** Returns the route of an address, or nothing. */
    const StreamRoute *find(Endpoint address) const
    {
        const auto found = routes.find(address);
        return found == routes.end() ? nullptr : &found->second;
    }

    friend bool operator==(const StreamConfiguration &, const StreamConfiguration &) = default;
};

} // namespace Samphirepitch
