#pragma once

#include "membership/memberview.h"
#include "peer/message.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** The newest known progress of each failure domain. Remembers which failure domains have changed, so that these are sent to peers. */
class ProgressTable
{
public:
    /**
     * Stores the progress of a failure domain if it is newer than the known one. Ignores a new failure domain if the table is full.
     * @return whether the failure domain is new or one of its generations has changed
     */
    bool update(const DomainProgress &progress);

    /** Returns whether there are changes since the last call of takeChanges(). */
    bool hasChanges() const;

    /** Returns the progress of the failure domains that have changed since the last call. */
    std::vector<DomainProgress> takeChanges();

    /** Returns the progress of all failure domains. */
    std::vector<DomainProgress> all() const;

    /** Returns the progress of a failure domain, or null if it is unknown. */
    const DomainProgress *progress(const std::string &failureDomain) const;

    /**
     * Returns the lowest prepared generation of all failure domains that have members in @p view that are not dead.
     * @return 0 if the progress of one of them is unknown
     */
    std::uint64_t lowestPrepared(const MemberView &view) const;

private:
    std::map<std::string, DomainProgress> m_domains;
    std::set<std::string> m_changed;
};

} // namespace Samphirepitch
