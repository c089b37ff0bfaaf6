#include "request/requestownership.h"

#include "membership/memberview.h"
#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

/** Returns whether a member can own requests. */
bool canOwnState(const Member &member)
{
    return member.state() == MemberState::Alive || member.state() == MemberState::Suspect;
}

std::vector<std::string> stateOwnerIds(const MemberView &view)
{
    std::vector<std::string> ids;
    for (const Member &member : view.members()) {
        if (canOwnState(member)) {
            ids.push_back(member.id());
        }
    }
    return ids;
}

std::shared_ptr<const MemberView> viewWithout(const MemberView &view, const std::string &id)
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

RequestOwnership::RequestOwnership(std::string instance, bool isNewId, TimePoint startedAt)
    : m_instance(std::move(instance))
    , m_isNewId(isNewId)
    , m_startedAt(startedAt)
    , m_view(std::make_shared<const MemberView>())
{
}

void RequestOwnership::memberViewChanged(std::shared_ptr<const MemberView> view, std::chrono::milliseconds longestWindow, TimePoint now)
{
    std::erase_if(m_previousViews, [&](const PreviousView &previous) { return now >= previous.replacedAt + longestWindow + maxClockSkew; });
    if (m_view->members().empty()) {
        // Until this instance joined, the other members owned its keys.
        m_previousViews.push_back({ viewWithout(*view, m_instance), now });
    } else if (stateOwnerIds(*m_view) != stateOwnerIds(*view)) {
        m_previousViews.push_back({ m_view, now });
    }
    m_view = std::move(view);
}

RequestOwnership::PreviousOwners RequestOwnership::previousOwners(
    std::uint64_t key, const Member &owner, std::chrono::milliseconds repeatWindow, TimePoint now) const
{
    PreviousOwners result;
    for (const PreviousView &previous : m_previousViews) {
        const auto ranked = previous.view->ranked(key, 1);
        if (now >= previous.replacedAt + repeatWindow + maxClockSkew || ranked.empty() || ranked.front()->id() == owner.id()) {
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

OwnerDecision RequestOwnership::decide(
    std::uint64_t key, Endpoint sender, std::uint8_t hops, std::chrono::milliseconds repeatWindow, TimePoint now) const
{
    const bool lacksEarlierOutcomes = !m_isNewId && now < m_startedAt + repeatWindow + maxClockSkew;
    const auto ranked = m_view->ranked(key, 1);
    if (ranked.empty()) {
        return { m_view->members().empty() && !lacksEarlierOutcomes ? OwnerAction::DecideHere : OwnerAction::Unknown, nullptr };
    }
    const Member &owner = *ranked.front();
    const PreviousOwners previous = previousOwners(key, owner, repeatWindow, now);
    if (owner.id() == m_instance) {
        return decideAsOwner(previous, sender, hops, lacksEarlierOutcomes);
    }
    // A previous owner that doesn't know the request forwards it to the owner. Any other instance asks the previous owner first.
    const bool askPrevious = previous.reachable && !previous.includesSelf && hops == 0;
    return forward(askPrevious ? previous.reachable : &owner, hops);
}

OwnerDecision RequestOwnership::decideAsOwner(
    const PreviousOwners &previous, Endpoint sender, std::uint8_t hops, bool lacksEarlierOutcomes) const
{
    if (previous.anyUnreachable || previous.reachableCount > 1 || lacksEarlierOutcomes) {
        return { OwnerAction::Unknown, nullptr };
    }
    const bool mayDecide = !previous.reachable || (hops > 0 && sender == previous.reachable->dataAddress());
    return mayDecide ? OwnerDecision { OwnerAction::DecideHere, nullptr } : forward(previous.reachable, hops);
}

OwnerDecision RequestOwnership::forward(const Member *instance, std::uint8_t hops) const
{
    return hops < Router::maxHops ? OwnerDecision { OwnerAction::Forward, instance } : OwnerDecision { OwnerAction::Unknown, nullptr };
}

} // namespace Samphirepitch
