#pragma once

#include "membership/memberview.h"

#include <set>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Selects the members that an instance keeps links to. The result depends only on the view, so both ends of a link agree on it. */
class LinkPlan
{
public:
    static constexpr std::size_t fullMeshSize = 5; /**< instances; a failure domain of at most this size is a full mesh */
    static constexpr std::size_t ringNeighbours = 2; /**< neighbours on each side in the ring of sorted instance ids */

    /**
     * Selects the link targets of one instance.
     *
     * A small failure domain is a full mesh. In a larger one each instance links to its ring neighbours and to its parent and
     * children in the aggregation tree. A watcher also links to the watchers of all failure domains.
     * @param view members to select from; dead members are no ring neighbours
     * @param self id of the instance
     * @param failureDomain failure domain of the instance
     * @return ids of the members to link to, without @p self
     */
    static std::set<std::string> targets(const MemberView &view, std::string_view self, std::string_view failureDomain);
};

} // namespace Samphirepitch
