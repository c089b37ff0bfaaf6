#pragma once

#include "core/clock.h"

namespace Samphirepitch
{

struct ServerStates;

/** Receives the health changes that the probes of an instance detect. */
class HealthReporter
{
public:
    virtual ~HealthReporter() = default;

    /** Applies changes to the data path of this instance and sends them to its peers. */
    virtual void reportServerStates(const ServerStates &states) = 0;

    /**
     * Returns when the member view expires. An instance without contact to any other can't tell a failure of its own network from a
     * failure of a server, so failed probes are ignored from then on.
     */
    virtual TimePoint viewDeadline() const = 0;
};

} // namespace Samphirepitch
