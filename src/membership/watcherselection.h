#pragma once

#include "membership/memberview.h"

#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/**
 * The computed roles of the members of a failure domain.
 *
 * Members are ordered by rendezvous rank. The first two watch the platform; the order is also an aggregation tree in
 * which member i has the children 4i+1 to 4i+4, so that each instance reads at most 4 reports.
 */
class WatcherSelection
{
public:
    static constexpr std::size_t watchersPerDomain = 2;
    static constexpr std::size_t treeArity = 4;

    /** Computes the order of @p failureDomain in @p view. */
    WatcherSelection(const MemberView &view, std::string_view failureDomain);

    /** Ids of the watchers, the root of the tree first. */
    std::vector<std::string> watchers() const;

    /** Returns whether @p id is a watcher. */
    bool isWatcher(std::string_view id) const;

    /** Returns the parent of @p id; empty for the root. Members that own nothing, such as leaving ones, report to the root. */
    std::string parent(std::string_view id) const;

    /** Returns the children of @p id in the tree. */
    std::vector<std::string> children(std::string_view id) const;

    /** Number of members in the order. */
    std::size_t size() const;

private:
    std::size_t position(std::string_view id) const;

    std::vector<std::string> m_order;
};

} // namespace Samphirepitch
