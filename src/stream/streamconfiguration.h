#pragma once

#include "core/endpoint.h"
#include "stream/storeposition.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** A service that receives a share of a route's new flows. */
struct RouteTarget {
    std::string service;
    std::uint32_t weight = 1; /**< share of new flows, relative to the weights of the other targets */

    friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/** The services that receive the new flows to one address. */
struct StreamRoute {
    std::string name;
    Endpoint address; /**< the destination address of clients' packets */
    std::vector<RouteTarget> targets; /**< the total weight is above 0; without targets, new flows are refused and open ones go on */
    bool idempotent = false; /**< whether clients may repeat a request after any failure */
    std::optional<std::uint32_t> priority; /**< of the requests; 0 is the most urgent; not set if unknown */
    std::chrono::milliseconds timeLimit { 0 }; /**< after which a client gives a request up; 0 if unknown */
    std::chrono::milliseconds targetLatency { 0 }; /**< within which clients expect the response; 0 if unknown */

    friend bool operator==(const StreamRoute &, const StreamRoute &) = default;
};

/** The limits of a service. */
struct ServiceLimits {
    double coldFlowsPerSecond = 0; /**< new flows a second that all instances together may send to a cold server; 0 for no limit */

    friend bool operator==(const ServiceLimits &, const ServiceLimits &) = default;
};

/** The routes and the limits of services of one version of the configuration. */
struct StreamConfiguration {
    std::uint64_t version = 0; /**< assigned by the operator */
    StorePosition position; /**< of its last change in the store */
    std::map<Endpoint, StreamRoute> routes; /**< by address */
    std::map<std::string, ServiceLimits> services; /**< by name; a service without limits may be missing */
    std::chrono::milliseconds idleTimeout { 0 }; /**< a flow may be dropped after this long without a packet */
    bool hasUnreadableRoutes = false; /**< whether routes were left out that can't be read; any missing route may then be one of them */

    /** Returns the route of @p address, or nullptr. */
    const StreamRoute *find(Endpoint address) const
    {
        const auto found = routes.find(address);
        return found == routes.end() ? nullptr : &found->second;
    }

    /**
     * Returns whether this configuration replaces @p other. The operator's version decides, because the store may return with an older
     * version. Of two configurations with the same version, the operator has written the one at the later position last.
     */
    bool isNewerThan(const StreamConfiguration &other) const
    {
        return version != other.version ? version > other.version : position > other.position;
    }

    friend bool operator==(const StreamConfiguration &, const StreamConfiguration &) = default;
};

} // namespace Samphirepitch
