#pragma once

#include "core/clock.h"
#include "membership/memberview.h"
#include "objectstore/platform.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Samphirepitch
{

/**
 * Maintains the member view. Merges three sources: the platform's instance list, which is eventually consistent; the state of the
 * links of this instance; and member events from peers.
 *
 * Events about a member are ordered by incarnation and, for the same incarnation, by state (alive, suspect, leaving, dead). A later
 * event supersedes an earlier one. The class owns no socket or timer; callers pass the current time.
 */
class Membership
{
public:
    /** Time until a suspect member becomes dead, unless it refutes the suspicion. */
    static constexpr std::chrono::milliseconds suspicionTimeout { 1500 };
    /** Time until a dead member is removed if the instance list omits it. */
    static constexpr std::chrono::seconds forgetTimeout { 30 };
    /**
     * Time until a dead member is removed if the instance list contains it or has not been read yet. Regions lose contact for an
     * hour, and their members rejoin at the addresses that are kept here.
     */
    static constexpr std::chrono::hours listedForgetTimeout { 2 };
    /**
     * Time without any contact after which the view expires. It must expire before peers treat this instance as dead, which takes at
     * least 1,500 ms (link timeout) + 1,500 ms (suspicion) - 500 ms (one heartbeat interval).
     */
    static constexpr std::chrono::milliseconds contactTimeout { 2000 };
    static constexpr std::size_t maxMembers = 16384; /**< twice the planned deployment size; further members are refused and counted */

    /**
     * Starts with a view that contains only this instance.
     * @param self this instance; its incarnation must be higher than in any earlier run with the same id
     * @param now current time
     */
    Membership(Member::Fields self, TimePoint now);

    /** Merges the platform's instance list @p list, which was read at @p now. */
    void instanceListRead(const std::vector<ListedInstance> &list, TimePoint now);

    /** Records that the link to @p peer is established. */
    void linkUp(const Member::Fields &peer, TimePoint now);

    /** Records a heartbeat that the member @p id sent over a link. */
    void heartbeat(std::string_view id, std::uint64_t incarnation, TimePoint now);

    /** Records that the link to the member @p id timed out or closed, or could not be established. */
    void linkDown(std::string_view id, TimePoint now);

    /** Records that a probe of the member @p id, which has no link, failed. */
    void probeFailed(std::string_view id, TimePoint now);

    /** Merges member events from a peer. */
    void apply(const std::vector<Member::Fields> &events, TimePoint now);

    /** Records that the platform answered this instance. */
    void platformContact(TimePoint now);

    /** Applies the deadlines that have passed: suspect members become dead, dead members are removed. */
    void advance(TimePoint now);

    /** Marks this instance as leaving and queues the event for its peers. */
    void beginLeaving();

    /** Returns the current view, which is the same object until something changes. */
    std::shared_ptr<const MemberView> view() const;

    /** Removes up to @p limit events from the queue of those to be sent to all linked peers, and returns them. */
    std::vector<Member::Fields> takeEvents(std::size_t limit);

    /** Returns an event for each member and this instance, for the initial synchronization of a new peer. */
    std::vector<Member::Fields> allEvents() const;

    const Member::Fields &self() const;

    /** Returns the ids of the members to keep links to. */
    std::set<std::string> linkTargets() const;

    /**
     * Returns the ids of the members without a link that a watcher should probe: dead members that may come back, and members of the
     * own failure domain that the instance list omits and that no link of this instance has heard from for forgetTimeout.
     */
    std::vector<std::string> probeTargets(TimePoint now) const;

    /** Returns whether this instance is one of the watchers of its failure domain. */
    bool isWatcher() const;

    /** Returns the time at which the view expires unless there is contact before. */
    TimePoint viewDeadline() const;

    /** Returns whether the view has expired, so that no decision may be based on it. */
    bool isViewExpired(TimePoint now) const;

    /**
     * Returns when a link of this instance last received a heartbeat of the member @p id, or when the member was added if none did.
     * @return the epoch if the member is unknown
     */
    TimePoint lastHeard(std::string_view id) const;

    /** Returns the number of members refused because of maxMembers. */
    std::uint64_t refusedCount() const;

private:
    struct Record {
        Member::Fields fields;
        bool listed = false;
        bool linked = false;
        TimePoint lastHeard {};
        TimePoint deadline = TimePoint::max(); // when a suspect or leaving member becomes dead, or a dead one is removed
    };

    Record *find(std::string_view id);
    void applyEvent(const Member::Fields &event, TimePoint now);
    void applyToSelf(const Member::Fields &event);
    void mergeListed(const ListedInstance &entry, TimePoint now);
    void insert(const Member::Fields &fields, TimePoint now, bool listed);
    void setState(Record &record, std::uint64_t incarnation, MemberState state, TimePoint now);
    void suspect(Record &record, TimePoint now);
    void suspectUnreachableDomain(const std::string &failureDomain, TimePoint now);
    void queueChange(const Record &record);

    Member::Fields m_self;
    std::map<std::string, Record, std::less<>> m_records;
    std::map<std::string, Member::Fields> m_pendingEvents;
    mutable std::shared_ptr<const MemberView> m_view;
    TimePoint m_lastContact;
    TimePoint m_lastAdvance;
    bool m_instanceListRead = false;
    std::uint64_t m_refusedCount = 0;
};

} // namespace Samphirepitch
