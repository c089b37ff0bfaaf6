#pragma once

#include "membership/memberview.h"

#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/**
 * The roles of the members of a failure domain, computed from a view.
 *
 * Members that may own state are ordered by rendezvous hash. The first two are the watchers, which watch the platform. The order
 * also defines an aggregation tree in which member i has the children 4i+1 to 4i+4, so that each instance reads at most 4 reports.
 */
class WatcherSelection
{
public:
    static constexpr std::size_t watchersPerDomain = 2;
    static constexpr std::size_t treeArity = 4; /**< children of each tree node */

    /** Computes the order of the members of @p failureDomain in @p view. */
    WatcherSelection(const MemberView &view, std::string_view failureDomain);

    /** Returns the ids of the watchers; the first one is the root of the tree. */
    std::vector<std::string> watchers() const;

    /** Returns whether the member @p id is a watcher. */
    bool isWatcher(std::string_view id) const;

    /**
     * Returns the id of the tree parent of the member @p id. Members outside the order, such as leaving ones, report to the root.
     * @return the parent, or an empty string for the root and for an empty order
     */
    std::string parent(std::string_view id) const;

    /** Returns the ids of the tree children of the member @p id. */
    std::vector<std::string> children(std::string_view id) const;

    /** Returns the number of members in the order. */
    std::size_t size() const;

private:
    std::size_t position(std::string_view id) const;

    std::vector<std::string> m_order;
};

} // namespace Samphirepitch
