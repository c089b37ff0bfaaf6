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
 * Decides which instances are members: merges the lagging instance list, what the own links see and what peers tell.
 *
 * News about a member are ordered by incarnation and, for the same incarnation, by state (alive, suspect, leaving, dead); the
 * later one counts. Each call takes the current time; nothing here owns a socket or a timer.
 */
class Membership
{
public:
    static constexpr std::chrono::milliseconds suspicionTimeout { 1500 }; /**< from suspect to dead unless refuted */
    /** From dead to forgotten, if the list was read since and does not name the member. */
    static constexpr std::chrono::seconds forgetTimeout { 30 };
    /** From dead to forgotten without a list; regions lose contact for an hour, and addresses are needed for the rejoin. */
    static constexpr std::chrono::hours unlistedForgetTimeout { 2 };
    /** Without any contact the view lapses before peers count this instance as dead (1,500 ms + 1,500 ms - one heartbeat). */
    static constexpr std::chrono::milliseconds contactTimeout { 2000 };
    static constexpr std::size_t maxMembers = 16384; /**< twice the planned size; more are refused and counted */

    /** Starts with a view of only @p self, whose incarnation must be higher than that of its previous life. */
    Membership(Member::Fields self, TimePoint now);

    /** Merges the instance list, as read at @p now. */
    void instanceListRead(const std::vector<ListedInstance> &list, TimePoint now);

    /** A link to @p peer is ready. */
    void linkUp(const Member::Fields &peer, TimePoint now);

    /** A heartbeat of @p id came over a link. */
    void heartbeat(std::string_view id, std::uint64_t incarnation, TimePoint now);

    /** A link missed its deadline or closed, or a wanted link could not be made. */
    void linkDown(std::string_view id, TimePoint now);

    /** A member outside the links could not be reached. */
    void probeFailed(std::string_view id, TimePoint now);

    /** Merges what a peer tells. */
    void apply(const std::vector<Member::Fields> &events, TimePoint now);

    /** This instance had an answer from the platform. */
    void platformContact(TimePoint now);

    /** Carries out what is due: suspects become dead, dead ones are forgotten. */
    void advance(TimePoint now);

    /** Spreads that this instance finishes its work. */
    void beginLeaving();

    /** The current view; the same object until something changes. */
    std::shared_ptr<const MemberView> view() const;

    /** Takes up to @p limit changes that are to be sent to all linked peers. */
    std::vector<Member::Fields> takeEvents(std::size_t limit);

    /** All members, to tell a new peer. */
    std::vector<Member::Fields> allEvents() const;

    const Member::Fields &self() const;

    /** Members that links are kept to. */
    std::set<std::string> linkTargets() const;

    /**
     * Members that a watcher should try to reach: dead ones that may come back, and live ones that the list omits and no link
     * of this instance heard for forgetTimeout.
     */
    std::vector<std::string> probeTargets(TimePoint now) const;

    /** Returns whether this instance is one of the watchers of its failure domain. */
    bool isWatcher() const;

    /** When the view lapses unless contact is made before. */
    TimePoint viewDeadline() const;

    /** Returns whether no decision may be based on the view. */
    bool isViewExpired(TimePoint now) const;

    /** When @p id was last heard over a link of this instance; the epoch if never. */
    TimePoint lastHeard(std::string_view id) const;

    /** Number of members refused because of maxMembers. */
    std::uint64_t refusedCount() const;

private:
    struct Record {
        Member::Fields fields;
        bool listed = false;
        bool linked = false;
        TimePoint lastHeard {};
        TimePoint deadline = TimePoint::max(); // suspect or leaving: becomes dead; dead: is forgotten
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
