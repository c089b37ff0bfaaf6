#pragma once

#include "membership/member.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/** The members that an instance knew at one moment: an immutable value, sorted by instance id. */
class MemberView
{
public:
    MemberView() = default;

    /**
     * Creates a view.
     * @param members the members in any order; ids must be unique
     */
    explicit MemberView(std::vector<Member> members);

    const std::vector<Member> &members() const;

    /** Returns the member with the id @p id, or null. */
    const Member *member(std::string_view id) const;

    /** Returns the member with the data address @p dataAddress, or null. Linear search: not for use on each packet. */
    const Member *memberAt(Endpoint dataAddress) const;

    /**
     * Lists members that may own state, which are the alive and the suspect ones, by descending rendezvous hash.
     * @param key hash of the item to be owned; the same key gives the same order on each instance with the same view
     * @param count maximum number of members to return
     * @param failureDomain restricts the list to members of this failure domain; empty selects all failure domains
     * @return pointers to members of this view
     */
    std::vector<const Member *> ranked(std::uint64_t key, std::size_t count, std::string_view failureDomain = {}) const;

    friend bool operator==(const MemberView &, const MemberView &) = default;

private:
    std::vector<Member> m_members;
    std::vector<std::uint64_t> m_idHashes;
};

} // namespace Samphirepitch
