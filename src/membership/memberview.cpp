#include "membership/memberview.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

MemberView::MemberView(std::vector<Member> members)
    : m_members(std::move(members))
{
    std::sort(m_members.begin(), m_members.end(), [](const Member &left, const Member &right) { return left.id() < right.id(); });
    m_idHashes.reserve(m_members.size());
    for (const Member &member : m_members) {
        m_idHashes.push_back(hash64(member.id()));
    }
}

const std::vector<Member> &MemberView::members() const
{
    return m_members;
}

const Member *MemberView::member(std::string_view id) const
{
    const auto found = std::lower_bound(
        m_members.begin(), m_members.end(), id, [](const Member &member, std::string_view wanted) { return member.id() < wanted; });
    return found != m_members.end() && found->id() == id ? &*found : nullptr;
}

const Member *MemberView::memberAt(Endpoint dataAddress) const
{
    const auto found = std::find_if(
        m_members.begin(), m_members.end(), [dataAddress](const Member &member) { return member.dataAddress() == dataAddress; });
    return found != m_members.end() ? &*found : nullptr;
}

std::vector<const Member *> MemberView::ranked(std::uint64_t key, std::size_t count, std::string_view failureDomain) const
{
    std::vector<std::pair<std::uint64_t, const Member *>> ranks;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const Member &member = m_members[index];
        const bool mayOwnState = member.state() == MemberState::Alive || member.state() == MemberState::Suspect;
        if (mayOwnState && (failureDomain.empty() || member.failureDomain() == failureDomain)) {
            ranks.emplace_back(mix64(m_idHashes[index], key), &member);
        }
    }
    const std::size_t taken = std::min(count, ranks.size());
    std::partial_sort(
        ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(taken), ranks.end(), [](const auto &left, const auto &right) {
            return left.first != right.first ? left.first > right.first : left.second->id() < right.second->id();
        });
    std::vector<const Member *> result;
    result.reserve(taken);
    for (std::size_t index = 0; index < taken; ++index) {
        result.push_back(ranks[index].second);
    }
    return result;
}

} // namespace Samphirepitch
