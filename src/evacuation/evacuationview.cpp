#include "evacuation/evacuationview.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Samphirepitch
{

EvacuationView::EvacuationView(const Clock &clock, EventSink &events)
    : m_clock(clock)
    , m_events(events)
{
}

void EvacuationView::enable()
{
    m_enabled = true;
}

bool EvacuationView::isEnabled() const
{
    return m_enabled;
}

bool EvacuationView::isReady() const
{
    return !m_enabled || !m_position.isUnset();
}

bool EvacuationView::replaceAll(const std::vector<Evacuation> &listed, StorePosition position, TimePoint confirmedAt)
{
    if (!m_enabled || position < m_position) {
        return false;
    }
    // Before the list is applied, because evacuations that begin or end are logged with the age of the view.
    m_age.confirm(confirmedAt);
    return replace({ .count = listed.size(), .evacuations = listed }, position, "listed", "not_listed");
}

bool EvacuationView::clear(std::uint64_t era, TimePoint confirmedAt)
{
    const auto isOfThisEra = [this](const auto &entry) { return entry.second.position.era() == m_position.era(); };
    StorePosition position = m_position;
    if (m_position.isUnset() || era > m_position.era()) {
        position = { era, 1 };
    } else if (std::any_of(m_evacuations.begin(), m_evacuations.end(), isOfThisEra)) {
        // The objects were deleted after the known position. Without a later position, other instances would not take this over.
        position = { m_position.era(), m_position.revision() + 1 };
    }
    return era >= m_position.era() && replaceAll({}, position, confirmedAt);
}

bool EvacuationView::apply(const std::vector<EvacuationUpdate> &updates, StorePosition position, TimePoint confirmedAt)
{
    if (!m_enabled || position.era() != m_position.era() || position < m_position) {
        return false;
    }
    m_age.confirm(confirmedAt);
    m_position = position;
    bool changed = false;
    for (const EvacuationUpdate &update : updates) {
        const bool hasChanged = update.deleted ? end(update.domain, "deleted") : insert({ update.domain, update.position }, "written");
        changed = hasChanged || changed;
    }
    return changed;
}

bool EvacuationView::merge(const EvacuationSet &set, StorePosition position, TimePoint confirmedAt)
{
    if (!m_enabled || position.isUnset()) {
        return true;
    }
    if (position > m_position) {
        if (!set.isComplete()) {
            return false;
        }
        m_age.confirm(confirmedAt);
        replace(set, position, "peer", "peer");
        return true;
    }
    if (position == m_position) {
        m_age.confirm(confirmedAt);
    }
    if (position.era() == m_position.era() && set.before > m_before && set.isComplete()) {
        adoptRetained(set);
    }
    return true;
}

bool EvacuationView::replace(const EvacuationSet &set, StorePosition position, std::string_view begun, std::string_view ended)
{
    // What this view knew before the era of the set. If the source of the set knew less, it can't tell whether what it lacks was deleted.
    const StorePosition before = m_position.era() < position.era() ? m_position : m_before;
    const bool knowsLess = set.before < before;
    m_before = std::max(before, set.before);
    m_position = position;
    std::set<std::string_view> present;
    for (const Evacuation &evacuation : set.evacuations) {
        present.insert(evacuation.domain);
    }
    std::vector<std::string> missing;
    for (auto &[domain, evacuation] : m_evacuations) {
        if (present.contains(domain)) {
            continue;
        }
        if (!knowsLess || evacuation.position.era() == position.era()) {
            missing.push_back(domain);
        } else if (evacuation.until == TimePoint()) {
            evacuation.until = m_clock.now() + lostRequestRetention;
        }
    }
    for (const std::string &domain : missing) {
        end(domain, ended);
    }
    // Removed ones go first, so that they take no place of new ones if the view is full.
    bool changed = !missing.empty();
    for (const Evacuation &evacuation : set.evacuations) {
        const bool isNew = insert(evacuation, begun);
        changed = isNew || changed;
    }
    return changed;
}

void EvacuationView::adoptRetained(const EvacuationSet &set)
{
    m_before = set.before;
    for (const Evacuation &evacuation : set.evacuations) {
        if (evacuation.position.era() < m_position.era() && !m_evacuations.contains(evacuation.domain)) {
            insert(evacuation, "peer");
        }
    }
}

bool EvacuationView::insert(Evacuation evacuation, std::string_view reason)
{
    const TimePoint now = m_clock.now();
    const TimePoint limit = now + lostRequestRetention;
    if (evacuation.position.era() >= m_position.era()) {
        evacuation.until = TimePoint();
    } else {
        evacuation.until = evacuation.until == TimePoint() ? limit : std::min(evacuation.until, limit);
    }
    const auto found = m_evacuations.find(evacuation.domain);
    if (found != m_evacuations.end()) {
        found->second = std::move(evacuation);
        return false;
    }
    if (m_evacuations.size() >= maxEvacuations) {
        return false;
    }
    ++m_changeCount;
    recordEvent("evacuation_begun", evacuation.domain, evacuation.position, reason);
    const std::string domain = evacuation.domain;
    m_evacuations.emplace(domain, std::move(evacuation));
    return true;
}

bool EvacuationView::end(const std::string &domain, std::string_view reason)
{
    const auto found = m_evacuations.find(domain);
    if (found == m_evacuations.end()) {
        return false;
    }
    ++m_changeCount;
    recordEvent("evacuation_ended", domain, m_position, reason);
    m_evacuations.erase(found);
    return true;
}

void EvacuationView::expire()
{
    std::vector<std::string> expired;
    for (const auto &[domain, evacuation] : m_evacuations) {
        if (!isEvacuated(domain, m_clock.now())) {
            expired.push_back(domain);
        }
    }
    for (const std::string &domain : expired) {
        end(domain, "lost_by_store");
    }
}

bool EvacuationView::isEvacuated(const std::string &domain, TimePoint now) const
{
    const auto found = m_evacuations.find(domain);
    return found != m_evacuations.end() && (found->second.until == TimePoint() || now < found->second.until);
}

bool EvacuationView::isEmpty() const
{
    return m_evacuations.empty();
}

EvacuationSet EvacuationView::all() const
{
    EvacuationSet set { .before = m_before };
    for (const auto &[domain, evacuation] : m_evacuations) {
        if (isEvacuated(domain, m_clock.now())) {
            set.evacuations.push_back(evacuation);
        }
    }
    set.count = set.evacuations.size();
    return set;
}

StorePosition EvacuationView::position() const
{
    return m_position;
}

std::uint64_t EvacuationView::changeCount() const
{
    return m_changeCount;
}

const ViewAge &EvacuationView::age() const
{
    return m_age;
}

void EvacuationView::recordEvent(std::string_view name, const std::string &domain, StorePosition position, std::string_view reason) const
{
    m_events.record(EventSeverity::Info, name,
        { { "domain", domain }, { "era", std::to_string(position.era()) }, { "revision", std::to_string(position.revision()) },
            { "age_ms", m_age.text(m_clock.now()) }, { "reason", std::string(reason) } });
}

void EvacuationView::writeMetrics(MetricWriter &writer) const
{
    if (!m_enabled) {
        return;
    }
    writer.gauge("samphirepitch_domains_evacuated", "Failure domains to whose servers no new flow is sent.", {},
        static_cast<double>(m_evacuations.size()));
    writer.gauge(
        "samphirepitch_evacuations_age_seconds", "Seconds since the evacuations were last confirmed.", {}, m_age.seconds(m_clock.now()));
}

} // namespace Samphirepitch
