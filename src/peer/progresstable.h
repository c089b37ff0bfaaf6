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

/** The newest progress of each failure domain as its watchers spread it, and what is still to be passed on. */
class ProgressTable
{
public:
    /** Takes the progress of a failure domain. @return whether it changes anything but the time */
    bool update(const DomainProgress &progress);

    /** Returns whether something changed since the last takeChanges(). */
    bool hasChanges() const;

    /** Takes all that changed since the last call. */
    std::vector<DomainProgress> takeChanges();

    /** All failure domains. */
    std::vector<DomainProgress> all() const;

    /** The progress of a failure domain, or null. */
    const DomainProgress *progress(const std::string &failureDomain) const;

    /** Lowest prepared generation of the failure domains that have members in @p view that are not dead; 0 if one is unknown. */
    std::uint64_t lowestPrepared(const MemberView &view) const;

private:
    std::map<std::string, DomainProgress> m_domains;
    std::set<std::string> m_changed;
};

} // namespace Samphirepitch
