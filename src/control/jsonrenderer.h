#pragma once

#include "control/renderer.h"

#include <ostream>

namespace Samphirepitch
{

/** Writes results and errors as one JSON value. */
class JsonRenderer : public Renderer
{
public:
    /** @param out receives the JSON text; must outlive this object */
    explicit JsonRenderer(std::ostream &out);

    void findings(const std::vector<Finding> &findings) override;
    void diff(const ConfigDiff &diff) override;
    void outcome(const ApplyOutcome &outcome, const StatusSummary *waited) override;
    void records(const std::vector<HeadRecord> &records) override;
    void status(const std::optional<HeadRecord> &head, const StatusSummary &summary, WallTime now) override;
    void events(const std::vector<Event> &events, const std::vector<Error> &unreachable) override;
    void instanceDrain(const std::string &id, bool accepted) override;
    void error(const Error &error) override;

private:
    std::ostream &m_out;
};

} // namespace Samphirepitch
