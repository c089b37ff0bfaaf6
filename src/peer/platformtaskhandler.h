#pragma once

#include "core/clock.h"
#include "objectstore/platform.h"
#include "peer/domainstatus.h"

#include <optional>
#include <vector>

namespace Samphirepitch
{

/** Decides for the tasks that call the platform when they have to act, and handles their results. */
class PlatformTaskHandler
{
public:
    virtual ~PlatformTaskHandler() = default;

    /** Returns whether this instance is responsible for watching the platform at @p now. */
    virtual bool watchesPlatform(TimePoint now) const = 0;

    /** Returns the interval between two reads of the instance list. */
    virtual std::chrono::milliseconds instanceListInterval() const = 0;

    /** Returns the status that this instance must write for its failure domain, or nothing if another instance writes it. */
    virtual std::optional<DomainStatus> statusToWrite() const = 0;

    /** Records that the platform answered at @p now. */
    virtual void platformAnswered(TimePoint now) = 0;

    /** Handles the instance list @p list, which was read at @p now. */
    virtual void instanceListRead(const std::vector<ListedInstance> &list, TimePoint now) = 0;
};

} // namespace Samphirepitch
