#pragma once

#include "core/clock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** The instances of the deployment as this one knows them. Instances may know of different ones. */
class InstanceRoster
{
public:
    virtual ~InstanceRoster() = default;

    /** Returns the id of this instance. */
    virtual const std::string &selfId() const = 0;

    /** Returns the ids of all instances that were heard of within PeerDirectory::retention, alive or not, with this one, sorted. */
    virtual std::vector<std::string> recentIds(TimePoint now) const = 0;

    /** Returns the number of live instances, with this one; at least 1. */
    virtual std::size_t aliveCount(TimePoint now) const = 0;

    /** Returns whether this instance has run long enough, and heard from others since, to know most of the running instances. */
    virtual bool isSettled(TimePoint now) const = 0;
};

} // namespace Samphirepitch
