#pragma once

#include "core/clock.h"

namespace Samphirepitch
{

struct ServerStates;

/** Takes the changes that the probes of an instance found. */
class HealthReporter
{
public:
    virtual ~HealthReporter() = default;

    /** Gives changes to the data path of this instance and to its peers. */
    virtual void reportServerStates(const ServerStates &states) = 0;

    /** Returns when the member view lapses; an instance without any contact can't tell its own fault from that of a server. */
    virtual TimePoint viewDeadline() const = 0;
};

} // namespace Samphirepitch
