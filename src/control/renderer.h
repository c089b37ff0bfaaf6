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

/** Interface that writes the results of commands. A command writes one result, and may write an error after it. */
class Renderer
{
public:
    virtual ~Renderer() = default;

    virtual void findings(const std::vector<Finding> &findings) = 0;
    virtual void diff(const ConfigDiff &diff) = 0;

    /**
     * Writes the outcome of a change.
     * @param outcome outcome of publishing the change
     * @param waited status of the deployment after waiting for the change to be in force; null if the command did not wait
     */
    virtual void outcome(const ApplyOutcome &outcome, const StatusSummary *waited) = 0;

    virtual void records(const std::vector<HeadRecord> &records) = 0;

    /**
     * Writes the status of the deployment.
     * @param head newest accepted change; unset if no change was ever accepted, or if the status comes from an instance
     * @param summary where the head generation is in force
     * @param now time of the status
     */
    virtual void status(const std::optional<HeadRecord> &head, const StatusSummary &summary, WallTime now) = 0;

    /** Writes events in the given order, and the errors of the instances or log files that could not be read. */
    virtual void events(const std::vector<Event> &events, const std::vector<Error> &unreachable) = 0;

    /** Writes that the instance @p id stops gracefully; @p accepted is false if a graceful stop was already in progress. */
    virtual void instanceDrain(const std::string &id, bool accepted) = 0;

    virtual void error(const Error &error) = 0;
};

/** Returns the lower-case name of @p severity. */
std::string severityName(EventSeverity severity);

/** Returns @p time in UTC in ISO 8601 format, such as "2026-01-01T00:00:00.000Z". */
std::string formatTime(WallTime time);

} // namespace Samphirepitch
