#pragma once

#include "membership/memberview.h"

#include <set>
#include <string>
#include <string_view>

namespace Samphirepitch
{

/** Which members an instance keeps links to; computed from the view alone, so that both ends agree. */
class LinkPlan
{
public:
    static constexpr std::size_t fullMeshSize = 5; /**< failure domains of at most this size link every pair */
    static constexpr std::size_t ringNeighbours = 2; /**< on each side of the ring of ids */

    /** Computes the links of @p self in @p failureDomain. */
    static std::set<std::string> targets(const MemberView &view, std::string_view self, std::string_view failureDomain);
};

} // namespace Samphirepitch
