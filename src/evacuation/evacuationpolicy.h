#pragma once

#include "evacuation/evacuationview.h"
#include "placement/placementpolicy.h"

namespace Samphirepitch
{

/** Forbids the servers of evacuated failure domains to new flows. */
class EvacuationPolicy : public PlacementPolicy
{
public:
    /** @param view must outlive the policy */
    explicit EvacuationPolicy(const EvacuationView &view);

    std::string_view name() const override;
    PlacementVerdict judge(const DirectoryRecord &server, const NewFlow &flow, TimePoint now) const override;

private:
    const EvacuationView &m_view;
};

} // namespace Samphirepitch
