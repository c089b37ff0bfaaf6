#pragma once

#include "model/backendpool.h"
#include "model/policy.h"
#include "model/service.h"
#include "routing/placement.h"

#include <memory>
#include <optional>
#include <string_view>

namespace Samphirepitch
{

/** A change of the placement of a service that can still concern flows that began before it. */
struct PlacementChange {
    std::uint64_t generation = 0; /**< configuration generation that made the change */
    TimePoint deadline; /**< drain deadline, after which the change concerns no flow */
    std::shared_ptr<const Placement> previous; /**< placement until the change */
};

/** The move of a bucket to another server. Flows of the bucket that began before the move may still be on the previous server. */
struct BucketMove {
    std::uint64_t generation = 0; /**< configuration generation that moved the bucket */
    ServerIndex previousServer = noServer; /**< server of the bucket until the move */
    std::uint32_t bucket = 0; /**< bucket in the lookup table of that generation */
    TimePoint deadline; /**< drain deadline, after which the move concerns no flow */
};

/** What the data path needs to know of one service in one configuration generation. Immutable once it is in a ServiceTable. */
struct RoutedService {
    std::uint64_t id = 0; /**< ServerRegistry::serviceId() of its name */
    Service service;
    BackendPool pool;
    Policy policy;
    std::vector<std::string> idempotentMethods; /**< methods of the policy and of its fallbacks, sorted */
    std::shared_ptr<const Placement> placement;
    std::vector<PlacementChange> changes; /**< newest first */

    /** Maximum number of placement changes that are kept. At the planned size, a service changes about 6 times a day. */
    static constexpr std::size_t maxChanges = 8;

    /** Returns whether the RPC method @p method may run more than once for one request. */
    bool isIdempotent(std::string_view method) const;

    /**
     * Looks up the server of a flow in the placement that was in force in a generation.
     * @param key flow key
     * @param generation configuration generation
     * @return the server, or noServer if no server took new flows
     */
    ServerIndex serverAt(std::uint64_t key, std::uint64_t generation) const;

    /**
     * Finds the latest move of the bucket of a flow.
     * @param key flow key
     * @param generation latest configuration generation to consider
     * @param now current time; moves whose deadline has passed are ignored
     * @return the move, or nothing if the bucket was not moved
     */
    std::optional<BucketMove> lastBucketMove(std::uint64_t key, std::uint64_t generation, TimePoint now) const;
};

} // namespace Samphirepitch
