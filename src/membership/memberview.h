#pragma once

#include "membership/member.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** What an instance knows of all instances at one moment; an immutable value, sorted by instance id. */
class MemberView
{
public:
    MemberView() = default;

    /** Takes members in any order; ids are unique. */
    explicit MemberView(std::vector<Member> members);

    const std::vector<Member> &members() const;

    /** Returns the member @p id, or null. */
    const Member *member(std::string_view id) const;

    /** Returns the member with the data address, or null. Looks at each member: for rare decisions, not for each packet. */
    const Member *memberAt(Endpoint dataAddress) const;

    /**
     * Lists up to @p count members that may own state, by falling rendezvous rank for @p key: alive ones and suspects.
     * @param key what is to be owned; the same key gives the same order on each instance with the same view
     * @param failureDomain only members of this failure domain; empty for all
     * @return pointers into this view
     */
    std::vector<const Member *> ranked(std::uint64_t key, std::size_t count, std::string_view failureDomain = {}) const;

    friend bool operator==(const MemberView &, const MemberView &) = default;

private:
    std::vector<Member> m_members;
    std::vector<std::uint64_t> m_idHashes;
};

} // namespace Samphirepitch
