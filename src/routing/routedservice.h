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

/** A change of the placement of a service that may still matter for flows that began before it. */
struct PlacementChange {
    std::uint64_t generation = 0; /**< the generation that brought the change */
    TimePoint deadline; /**< drain deadline; the change doesn't matter after it */
    std::shared_ptr<const Placement> previous;
};

/** Why the flows of a bucket may not be where the lookup table says. */
struct BucketMove {
    std::uint64_t generation = 0; /**< the generation that moved the bucket */
    ServerIndex previousServer = noServer; /**< where the flows of the bucket went until then */
    std::uint32_t bucket = 0; /**< bucket of the table of that generation */
    TimePoint deadline; /**< drain deadline */
};

/** What the data path needs of one service of one generation; an immutable value. */
struct RoutedService {
    std::uint64_t id = 0;
    Service service;
    BackendPool pool;
    Policy policy;
    std::vector<std::string> idempotentMethods; /**< of the policy and its fallbacks; sorted */
    std::shared_ptr<const Placement> placement;
    std::vector<PlacementChange> changes; /**< newest first */

    /** Most changes that are remembered; at the planned size a service changes about 6 times a day. */
    static constexpr std::size_t maxChanges = 8;

    bool isIdempotent(std::string_view method) const;

    /**
     * Returns the server of a flow by calculation, as of the newest generation of at most @p generation.
     * @return a server, or noServer
     */
    ServerIndex serverAt(std::uint64_t key, std::uint64_t generation) const;

    /** Returns the newest change up to @p generation that moved the flow and still matters at @p now. */
    std::optional<BucketMove> lastBucketMove(std::uint64_t key, std::uint64_t generation, TimePoint now) const;
};

} // namespace Samphirepitch
