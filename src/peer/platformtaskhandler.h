#pragma once

#include "core/clock.h"
#include "objectstore/platform.h"
#include "peer/domainstatus.h"

#include <optional>
#include <vector>

namespace Samphirepitch
{

/** What the tasks that call the platform ask the control plane, and tell it. */
class PlatformTaskHandler
{
public:
    virtual ~PlatformTaskHandler() = default;

    /** Whether this instance has to watch the platform now. */
    virtual bool watchesPlatform(TimePoint now) const = 0;

    /** How long to wait between two reads of the instance list. */
    virtual std::chrono::milliseconds instanceListInterval() const = 0;

    /** The status that this instance has to write for its failure domain, or nothing. */
    virtual std::optional<DomainStatus> statusToWrite() const = 0;

    /** The platform answered. */
    virtual void platformAnswered(TimePoint now) = 0;

    /** The instance list was read. */
    virtual void instanceListRead(const std::vector<ListedInstance> &list, TimePoint now) = 0;
};

} // namespace Samphirepitch
