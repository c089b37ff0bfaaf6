#pragma once

#include "control/renderer.h"

#include <ostream>

namespace Samphirepitch
{

/** Writes results as human-readable text, and errors to a separate stream. */
class TableRenderer : public Renderer
{
public:
    /** Both streams must outlive this object. */
    TableRenderer(std::ostream &out, std::ostream &errors);

    void findings(const std::vector<Finding> &findings) override;
    void diff(const ConfigDiff &diff) override;
    void outcome(const ApplyOutcome &outcome, const StatusSummary *waited) override;
    void records(const std::vector<HeadRecord> &records) override;
    void status(const std::optional<HeadRecord> &head, const StatusSummary &summary, WallTime now) override;
    void events(const std::vector<Event> &events, const std::vector<Error> &unreachable) override;
    void instanceDrain(const std::string &id, bool accepted) override;
    void error(const Error &error) override;

private:
    void writeLagging(const StatusSummary &summary);

    std::ostream &m_out;
    std::ostream &m_errors;
};

} // namespace Samphirepitch
