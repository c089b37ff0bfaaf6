#pragma once

#include "core/error.h"
#include "model/configdiff.h"
#include "model/finding.h"
#include "model/headrecord.h"
#include "objectstore/applyoutcome.h"
#include "peer/event.h"

#include <optional>
#include <string>
#include <vector>

namespace Samphirepitch
{

class StatusSummary;

/** Writes the results of commands. Each command calls one of the functions, once. */
class Renderer
{
public:
    virtual ~Renderer() = default;

    virtual void findings(const std::vector<Finding> &findings) = 0;
    virtual void diff(const ConfigDiff &diff) = 0;

    /** Writes the outcome of a change; @p waited is set if the command waited for it to be in force. */
    virtual void outcome(const ApplyOutcome &outcome, const StatusSummary *waited) = 0;

    virtual void records(const std::vector<HeadRecord> &records) = 0;

    /** Writes the state of the deployment; @p head is none if nothing was ever accepted or an instance was asked. */
    virtual void status(const std::optional<HeadRecord> &head, const StatusSummary &summary, WallTime now) = 0;

    /** Writes events in the order given, and the instances that could not be asked. */
    virtual void events(const std::vector<Event> &events, const std::vector<Error> &unreachable) = 0;

    /** Writes that the instance @p id stops gracefully; @p accepted is false if it was leaving already. */
    virtual void instanceDrain(const std::string &id, bool accepted) = 0;

    virtual void error(const Error &error) = 0;
};

/** Returns the lower-case name of @p severity. */
std::string severityName(EventSeverity severity);

/** Returns @p time as text, such as "2026-01-01T00:00:00.000Z". */
std::string formatTime(WallTime time);

} // namespace Samphirepitch
