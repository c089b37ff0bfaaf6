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

/** Who decides about a non-idempotent request that is not in the outcome store of this instance. */
enum class OwnerAction {
    DecideHere, /**< This instance owns the request, and no other instance can have sent it. */
    Forward, /**< Another instance owns the request or may know it. */
    Unknown, /**< An instance that may have sent the request can't be asked; the outcome for the caller is "unknown". */
};

/** The decision about one non-idempotent request. */
struct OwnerDecision {
    OwnerAction action = OwnerAction::Unknown;
    const Member *instance = nullptr; /**< target of Forward, valid until the next change of the member view; null otherwise */
};

/**
 * Determines the instance that decides about a non-idempotent request: the owner, the member with the highest rendezvous rank for the
 * key of the request. When a change of the members moves keys to a new owner, the previous owner may have sent requests that callers
 * can still repeat. Until the repeat window and maxClockSkew have passed, a previous owner that is reachable is asked first, and the keys
 * of an unreachable one are in quarantine: their requests are refused with the outcome "unknown".
 */
class RequestOwnership
{
public:
    static constexpr std::chrono::milliseconds maxClockSkew { 250 }; /**< largest expected difference between wall clocks */

    /**
     * @param instance id of this instance
     * @param isNewId whether no earlier process used this id within the repeat window; otherwise the keys that this instance owns are
     *        in quarantine at first, because the outcome store of that process is lost
     * @param startedAt start time of this instance
     */
    RequestOwnership(std::string instance, bool isNewId, TimePoint startedAt);

    /**
     * Applies a member view.
     * @param view current member view
     * @param longestWindow longest repeat window of any policy
     * @param now current time
     */
    void memberViewChanged(std::shared_ptr<const MemberView> view, std::chrono::milliseconds longestWindow, TimePoint now);

    /**
     * Decides who handles a request that is not in the outcome store of this instance.
     * @param key RequestId::key()
     * @param sender source address of the datagram; if it is the previous owner, that instance doesn't know the request, because it
     *        would have handled it otherwise
     * @param hops number of times that the request was forwarded between instances
     * @param repeatWindow repeat window in the policy of the service
     * @param now current time
     */
    OwnerDecision decide(
        std::uint64_t key, Endpoint sender, std::uint8_t hops, std::chrono::milliseconds repeatWindow, TimePoint now) const;

private:
    /** A member view that was replaced by one with other owners. */
    struct PreviousView {
        std::shared_ptr<const MemberView> view;
        TimePoint replacedAt;
    };
    /** The instances that owned a key in previous views and may know requests that callers can still repeat. */
    struct PreviousOwners {
        const Member *reachable = nullptr; /**< the latest reachable one other than this instance; null if there is none */
        std::size_t reachableCount = 0; /**< reachable ones other than this instance */
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
