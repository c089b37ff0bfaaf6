#include "request/quarantine.h"

#include "membership/memberview.h"
#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

bool owns(const Member &member)
{
    return member.state() == MemberState::Alive || member.state() == MemberState::Suspect;
}

std::vector<std::string> ownerIds(const MemberView &view)
{
    std::vector<std::string> ids;
    for (const Member &member : view.members()) {
        if (owns(member)) {
            ids.push_back(member.id());
        }
    }
    return ids;
}

std::shared_ptr<const MemberView> without(const MemberView &view, const std::string &id)
{
    std::vector<Member> members;
    for (const Member &member : view.members()) {
        if (member.id() != id) {
            members.push_back(member);
        }
    }
    return std::make_shared<const MemberView>(std::move(members));
}

} // namespace

Quarantine::Quarantine(std::string instance, bool isNewId, TimePoint startedAt)
    : m_instance(std::move(instance))
    , m_isNewId(isNewId)
    , m_startedAt(startedAt)
    , m_view(std::make_shared<const MemberView>())
{
}

void Quarantine::viewChanged(std::shared_ptr<const MemberView> view, std::chrono::milliseconds longestWindow, TimePoint now)
{
    std::erase_if(m_former, [&](const FormerView &former) { return now >= former.replacedAt + longestWindow + clockSkew; });
    if (m_view->members().empty()) {
        // Until this instance joined, the others owned its range.
        m_former.push_back({ without(*view, m_instance), now });
    } else if (ownerIds(*m_view) != ownerIds(*view)) {
        m_former.push_back({ m_view, now });
    }
    m_view = std::move(view);
}

Quarantine::FormerOwners Quarantine::formerOwners(
    std::uint64_t key, const Member &owner, std::chrono::milliseconds repeatWindow, TimePoint now) const
{
    FormerOwners result;
    for (const FormerView &former : m_former) {
        const auto ranked = former.view->ranked(key, 1);
        if (now >= former.replacedAt + repeatWindow + clockSkew || ranked.empty() || ranked.front()->id() == owner.id()) {
            continue;
        }
        if (ranked.front()->id() == m_instance) {
            result.includesSelf = true;
            continue;
        }
        const Member *current = m_view->member(ranked.front()->id());
        if (!current || current->state() == MemberState::Dead) {
            result.anyUnreachable = true;
        } else if (current != result.reachable) {
            result.reachable = current;
            ++result.reachableCount;
        }
    }
    return result;
}

OwnerDecision Quarantine::decide(
    std::uint64_t key, Endpoint sender, std::uint8_t hops, std::chrono::milliseconds repeatWindow, TimePoint now) const
{
    const bool isFresh = !m_isNewId && now < m_startedAt + repeatWindow + clockSkew;
    const auto ranked = m_view->ranked(key, 1);
    if (ranked.empty()) {
        return { m_view->members().empty() && !isFresh ? OwnerAction::DecideHere : OwnerAction::Unknown, nullptr };
    }
    const Member &owner = *ranked.front();
    const FormerOwners former = formerOwners(key, owner, repeatWindow, now);
    if (owner.id() == m_instance) {
        return decideAsOwner(former, sender, hops, isFresh);
    }
    // An earlier owner passes the request on to the new one; any other instance asks the earlier owner first.
    const bool askFormer = former.reachable && !former.includesSelf && hops == 0;
    return forward(askFormer ? former.reachable : &owner, hops);
}

OwnerDecision Quarantine::decideAsOwner(const FormerOwners &former, Endpoint sender, std::uint8_t hops, bool isFresh) const
{
    if (former.anyUnreachable || former.reachableCount > 1 || isFresh) {
        return { OwnerAction::Unknown, nullptr };
    }
    const bool isAsked = !former.reachable || (hops > 0 && sender == former.reachable->dataAddress());
    return isAsked ? OwnerDecision { OwnerAction::DecideHere, nullptr } : forward(former.reachable, hops);
}

OwnerDecision Quarantine::forward(const Member *instance, std::uint8_t hops) const
{
    return hops < Router::maxHops ? OwnerDecision { OwnerAction::Forward, instance } : OwnerDecision { OwnerAction::Unknown, nullptr };
}

} // namespace Samphirepitch
