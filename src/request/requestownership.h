#pragma once

#include "core/clock.h"
#include "core/endpoint.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Samphirepitch
{

class Member;
class MemberView;

/** Who decides about a non-idempotent request that is not in this instance's memory. */
enum class OwnerAction {
    DecideHere, /**< This instance owns the request, and nobody else can have sent it. */
    Forward, /**< Another instance owns it or may remember it. */
    Unknown, /**< An instance that may have sent it can't be asked: say "unknown". */
};

/** The decision about a request, by its key. */
struct OwnerDecision {
    OwnerAction action = OwnerAction::Unknown;
    const Member *instance = nullptr; /**< with Forward; valid until the next change of the member view */
};

/**
 * Computes the owner of non-idempotent requests and keeps the ranges of earlier owners apart until callers can't repeat
 * requests from that time any more: a reachable earlier owner is asked first; the range of an unreachable one is refused as
 * unknown until the quarantine deadline.
 */
class RequestOwnership
{
public:
    static constexpr std::chrono::milliseconds maxClockSkew { 250 }; /**< most that wall clocks differ */

    /**
     * @param instance id of this instance
     * @param isNewId whether no earlier process ran under this id within the repeat window; otherwise this instance's own
     *        range is in quarantine at first, because that process took its memory with it
     * @param startedAt when this instance started
     */
    RequestOwnership(std::string instance, bool isNewId, TimePoint startedAt);

    /** Takes a view into use. @param longestWindow longest repeat window of any policy */
    void memberViewChanged(std::shared_ptr<const MemberView> view, std::chrono::milliseconds longestWindow, TimePoint now);

    /**
     * Decides who handles a request that is not in the own memory.
     * @param key RequestId::key()
     * @param sender address that the datagram came from; decides only if it is an earlier owner's data address
     * @param hops how often the request was forwarded
     * @param repeatWindow of the policy of the request's service
     */
    OwnerDecision decide(
        std::uint64_t key, Endpoint sender, std::uint8_t hops, std::chrono::milliseconds repeatWindow, TimePoint now) const;

private:
    struct PreviousView {
        std::shared_ptr<const MemberView> view;
        TimePoint replacedAt;
    };
    struct PreviousOwners {
        const Member *reachable = nullptr;
        std::size_t reachableCount = 0;
        bool anyUnreachable = false;
        bool includesSelf = false;
    };

    PreviousOwners previousOwners(std::uint64_t key, const Member &owner, std::chrono::milliseconds repeatWindow, TimePoint now) const;
    OwnerDecision decideAsOwner(const PreviousOwners &previous, Endpoint sender, std::uint8_t hops, bool lacksEarlierOutcomes) const;
    OwnerDecision forward(const Member *instance, std::uint8_t hops) const;

    std::string m_instance;
    bool m_isNewId;
    TimePoint m_startedAt;
    std::shared_ptr<const MemberView> m_view;
    std::vector<PreviousView> m_previousViews; /**< newest last */
};

} // namespace Samphirepitch
