#include "membership/membership.h"

#include "membership/linkplan.h"
#include "membership/watcherselection.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

bool supersedes(const Member::Fields &left, const Member::Fields &right)
{
    return std::pair(left.incarnation, left.state) > std::pair(right.incarnation, right.state);
}

} // namespace

Membership::Membership(Member::Fields self, TimePoint now)
    : m_self(std::move(self))
    , m_lastContact(now)
    , m_lastAdvance(now)
{
    m_pendingEvents.emplace(m_self.id, m_self);
}

void Membership::instanceListRead(const std::vector<ListedInstance> &list, TimePoint now)
{
    m_instanceListRead = true;
    for (auto &[id, record] : m_records) {
        record.listed = false;
    }
    for (const ListedInstance &entry : list) {
        mergeListed(entry, now);
    }
    for (auto &[id, record] : m_records) {
        if (record.fields.state == MemberState::Dead && !record.listed) {
            record.deadline = std::min(record.deadline, now + forgetTimeout);
        }
    }
}

void Membership::linkUp(const Member::Fields &peer, TimePoint now)
{
    if (peer.id == m_self.id) {
        return;
    }
    applyEvent(peer, now);
    heartbeat(peer.id, peer.incarnation, now);
}

void Membership::heartbeat(std::string_view id, std::uint64_t incarnation, TimePoint now)
{
    Record *record = find(id);
    if (!record) {
        return;
    }
    record->linked = true;
    record->lastHeard = now;
    m_lastContact = std::max(m_lastContact, now);
    if (incarnation > record->fields.incarnation) {
        setState(*record, incarnation, MemberState::Alive, now);
    }
}

void Membership::linkDown(std::string_view id, TimePoint now)
{
    Record *record = find(id);
    if (!record) {
        return;
    }
    record->linked = false;
    // A peer outside the link plan is monitored by other members. It may have closed the link only because it no longer needs it.
    if (linkTargets().contains(record->fields.id)) {
        suspect(*record, now);
        if (record->fields.failureDomain != m_self.failureDomain) {
            suspectUnreachableDomain(record->fields.failureDomain, now);
        }
    }
}

void Membership::probeFailed(std::string_view id, TimePoint now)
{
    Record *record = find(id);
    if (record && !record->linked) {
        suspect(*record, now);
    }
}

void Membership::apply(const std::vector<Member::Fields> &events, TimePoint now)
{
    for (const Member::Fields &event : events) {
        applyEvent(event, now);
    }
}

void Membership::platformContact(TimePoint now)
{
    m_lastContact = std::max(m_lastContact, now);
}

void Membership::advance(TimePoint now)
{
    m_lastAdvance = now;
    for (auto next = m_records.begin(); next != m_records.end();) {
        const auto current = next++;
        Record &record = current->second;
        if (now < record.deadline) {
            continue;
        }
        if (record.fields.state == MemberState::Dead) {
            m_pendingEvents.erase(current->first);
            m_records.erase(current);
            m_view.reset();
        } else if (record.linked) {
            record.deadline = TimePoint::max(); // this instance still receives its heartbeats, so a refutation will follow
        } else {
            setState(record, record.fields.incarnation, MemberState::Dead, now);
        }
    }
}

void Membership::beginLeaving()
{
    if (m_self.state != MemberState::Leaving) {
        m_self.state = MemberState::Leaving;
        m_pendingEvents.insert_or_assign(m_self.id, m_self);
        m_view.reset();
    }
}

std::shared_ptr<const MemberView> Membership::view() const
{
    if (!m_view) {
        std::vector<Member> members { Member(m_self) };
        for (const auto &[id, record] : m_records) {
            members.emplace_back(record.fields);
        }
        m_view = std::make_shared<const MemberView>(std::move(members));
    }
    return m_view;
}

std::vector<Member::Fields> Membership::takeEvents(std::size_t limit)
{
    std::vector<Member::Fields> events;
    while (events.size() < limit && !m_pendingEvents.empty()) {
        events.push_back(std::move(m_pendingEvents.begin()->second));
        m_pendingEvents.erase(m_pendingEvents.begin());
    }
    return events;
}

std::vector<Member::Fields> Membership::allEvents() const
{
    std::vector<Member::Fields> events { m_self };
    for (const auto &[id, record] : m_records) {
        events.push_back(record.fields);
    }
    return events;
}

const Member::Fields &Membership::self() const
{
    return m_self;
}

std::set<std::string> Membership::linkTargets() const
{
    return LinkPlan::targets(*view(), m_self.id, m_self.failureDomain);
}

std::vector<std::string> Membership::probeTargets(TimePoint now) const
{
    std::vector<std::string> targets;
    for (const auto &[id, record] : m_records) {
        const bool own = record.fields.failureDomain == m_self.failureDomain;
        const bool mayReturn = record.fields.state == MemberState::Dead && (record.listed || !own);
        const bool isUnheard = record.fields.state != MemberState::Dead && own && m_instanceListRead && !record.listed
            && now >= record.lastHeard + forgetTimeout;
        if (!record.linked && (mayReturn || isUnheard)) {
            targets.push_back(id);
        }
    }
    return targets;
}

bool Membership::isWatcher() const
{
    return WatcherSelection(*view(), m_self.failureDomain).isWatcher(m_self.id);
}

TimePoint Membership::viewDeadline() const
{
    const bool alone
        = std::all_of(m_records.begin(), m_records.end(), [](const auto &entry) { return entry.second.fields.state == MemberState::Dead; });
    // An instance without live peers receives no heartbeats. Its view stays valid as long as advance() is called.
    return (alone ? std::max(m_lastContact, m_lastAdvance) : m_lastContact) + contactTimeout;
}

bool Membership::isViewExpired(TimePoint now) const
{
    return now >= viewDeadline();
}

TimePoint Membership::lastHeard(std::string_view id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? TimePoint() : found->second.lastHeard;
}

std::uint64_t Membership::refusedCount() const
{
    return m_refusedCount;
}

Membership::Record *Membership::find(std::string_view id)
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

void Membership::applyEvent(const Member::Fields &event, TimePoint now)
{
    if (event.id == m_self.id) {
        applyToSelf(event);
        return;
    }
    Record *record = find(event.id);
    if (!record) {
        if (event.state != MemberState::Dead) { // a dead member without a record has been removed here or was never known
            insert(event, now, false);
        }
        return;
    }
    if (supersedes(event, record->fields)) {
        record->fields.peerAddress = event.peerAddress;
        record->fields.dataAddress = event.dataAddress;
        record->fields.failureDomain = event.failureDomain;
        setState(*record, event.incarnation, event.state, now);
    } else if (supersedes(record->fields, event) && record->fields.state == MemberState::Dead) {
        queueChange(*record); // announces the death again, because the sender of the event does not know of it yet
    }
}

void Membership::applyToSelf(const Member::Fields &event)
{
    const bool contradicts = event.incarnation > m_self.incarnation
        || (event.incarnation == m_self.incarnation && event.state != MemberState::Alive && event.state != m_self.state);
    if (contradicts) {
        m_self.incarnation = event.incarnation + 1;
        m_pendingEvents.insert_or_assign(m_self.id, m_self);
        m_view.reset();
    }
}

void Membership::mergeListed(const ListedInstance &entry, TimePoint now)
{
    if (entry.id == m_self.id) {
        if (entry.leaving) {
            beginLeaving();
        }
        return;
    }
    Record *record = find(entry.id);
    const MemberState state = entry.leaving ? MemberState::Leaving : MemberState::Alive;
    if (!record) {
        insert({ entry.id, entry.failureDomain, entry.peerAddress, entry.dataAddress, 0, state }, now, true);
        return;
    }
    record->listed = true;
    if (entry.leaving && record->fields.state < MemberState::Leaving) {
        setState(*record, record->fields.incarnation, MemberState::Leaving, now);
    }
}

void Membership::insert(const Member::Fields &fields, TimePoint now, bool listed)
{
    if (m_records.size() >= maxMembers) {
        ++m_refusedCount;
        return;
    }
    Record record { fields, listed };
    record.lastHeard = now;
    setState(m_records.emplace(fields.id, std::move(record)).first->second, fields.incarnation, fields.state, now);
}

void Membership::setState(Record &record, std::uint64_t incarnation, MemberState state, TimePoint now)
{
    record.fields.incarnation = incarnation;
    record.fields.state = state;
    switch (state) {
    case MemberState::Alive:
    case MemberState::Leaving:
        record.deadline = TimePoint::max();
        break;
    case MemberState::Suspect:
        record.deadline = now + suspicionTimeout;
        break;
    case MemberState::Dead:
        record.deadline = now
            + (m_instanceListRead && !record.listed ? std::chrono::seconds(forgetTimeout) : std::chrono::seconds(listedForgetTimeout));
        break;
    }
    queueChange(record);
}

void Membership::suspect(Record &record, TimePoint now)
{
    if (record.fields.state == MemberState::Alive) {
        setState(record, record.fields.incarnation, MemberState::Suspect, now);
    } else if (record.fields.state == MemberState::Leaving) {
        record.deadline = std::min(record.deadline, now + suspicionTimeout);
    }
}

void Membership::suspectUnreachableDomain(const std::string &failureDomain, TimePoint now)
{
    // Only watchers link to other failure domains. Without contact to the watchers there, the other members are unreachable too.
    for (const auto &[id, record] : m_records) {
        if (record.fields.failureDomain == failureDomain && record.linked) {
            return;
        }
    }
    for (const std::string &watcher : WatcherSelection(*view(), failureDomain).watchers()) {
        if (find(watcher)->fields.state == MemberState::Alive) {
            return;
        }
    }
    for (auto &[id, record] : m_records) {
        if (record.fields.failureDomain == failureDomain) {
            suspect(record, now);
        }
    }
}

void Membership::queueChange(const Record &record)
{
    m_pendingEvents.insert_or_assign(record.fields.id, record.fields);
    m_view.reset();
}

} // namespace Samphirepitch
