#include "evacuation/evacuationpolicy.h"

namespace Samphirepitch
{

EvacuationPolicy::EvacuationPolicy(const EvacuationView &view)
    : m_view(view)
{
}

std::string_view EvacuationPolicy::name() const
{
    return "evacuation";
}

PlacementVerdict EvacuationPolicy::judge(const DirectoryRecord &server, const NewFlow &, TimePoint now) const
{
    return m_view.isEvacuated(server.server.failureDomain, now) ? PlacementVerdict::Forbidden : PlacementVerdict::Allowed;
}

} // namespace Samphirepitch
