#pragma once

#include "core/clock.h"
#include "stream/storeposition.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** A failure domain to whose servers no new flow is sent. */
struct Evacuation {
    std::string domain;
    StorePosition position; /**< of the last change of the request */
    /** When the evacuation ends by itself, because the store lost it with an earlier era; TimePoint() if it is in force until deleted. */
    TimePoint until {};

    friend bool operator==(const Evacuation &, const Evacuation &) = default;
};

/** All evacuations that an instance knows, for other instances. The position up to which they are known is part of the view. */
struct EvacuationSet {
    /** The last position of an earlier era up to which the instance had known all evacuations; unset if none. */
    StorePosition before;
    std::uint64_t count = 0; /**< number of evacuations, of which a message contains all or none */
    std::vector<Evacuation> evacuations;

    /** Returns whether all evacuations are contained. */
    bool isComplete() const
    {
        return evacuations.size() == count;
    }

    friend bool operator==(const EvacuationSet &, const EvacuationSet &) = default;
};

} // namespace Samphirepitch
