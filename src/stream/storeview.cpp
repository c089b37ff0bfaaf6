#include "stream/storeview.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Samphirepitch
{

namespace
{

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

} // namespace

StoreView::StoreView(const Clock &clock, EventSink &events)
    : m_clock(clock)
    , m_events(events)
    , m_evacuations(clock, events)
{
    m_directory.useServices({}); // until a configuration names some
}

std::optional<DirectoryChanges> StoreView::applyConfiguration(StreamConfiguration configuration)
{
    if (!configuration.isNewerThan(m_configuration)) {
        if (configuration.version < m_configuration.version) {
            m_events.record(EventSeverity::Info, "configuration_ignored",
                { { "version", number(configuration.version) }, { "in_force", number(m_configuration.version) },
                    { "era", number(configuration.position.era()) }, { "revision", number(configuration.position.revision()) } });
        }
        return std::nullopt;
    }
    const StreamConfiguration previous = std::exchange(m_configuration, std::move(configuration));
    advanceCheckedPosition(m_configuration.position);
    m_events.record(EventSeverity::Info, "configuration_in_force",
        { { "version", number(m_configuration.version) }, { "before", number(previous.version) },
            { "era", number(m_configuration.position.era()) }, { "revision", number(m_configuration.position.revision()) },
            { "routes", number(m_configuration.routes.size()) } });
    return useTargetServices();
}

DirectoryChanges StoreView::useTargetServices()
{
    std::set<std::string> services;
    for (const auto &[address, route] : m_configuration.routes) {
        for (const RouteTarget &target : route.targets) {
            services.insert(target.service);
        }
    }
    DirectoryChanges changes = m_directory.useServices(services);
    logUnusedEntries();
    return changes;
}

void StoreView::logUnusedEntries()
{
    const auto &unused = m_directory.unused();
    if (std::exchange(m_loggedUnusedCount, unused.size()) == unused.size()) {
        return;
    }
    std::vector<EventField> fields { { "entries", number(unused.size()) } };
    if (!unused.empty()) {
        const StreamServer &first = unused.begin()->second.server;
        fields.push_back({ "first", first.id });
        fields.push_back({ "service_name", first.service });
        fields.push_back({ "address", first.address.toString() });
    }
    m_events.record(EventSeverity::Info, "server_entries_unused", std::move(fields));
}

std::optional<DirectoryChanges> StoreView::replaceServers(
    const std::vector<StreamServer> &servers, const std::vector<std::string> &unreadable, StorePosition position)
{
    if (position.era() < m_directory.position().era()) {
        return std::nullopt;
    }
    if (recordEra("servers", m_directory.position(), position)) {
        m_confirmationGapEnd = m_clock.now();
    }
    DirectoryChanges changes = m_directory.replaceAll(servers, unreadable, position, m_clock.now());
    logUnusedEntries();
    return changes;
}

std::optional<DirectoryChanges> StoreView::applyServerUpdates(const ServerUpdates &updates)
{
    if (updates.position.era() != m_directory.position().era()) {
        return std::nullopt;
    }
    DirectoryChanges changes = m_directory.apply(updates.updates, m_clock.now());
    m_directory.advancePosition(updates.position);
    logUnusedEntries();
    return changes;
}

TimePoint StoreView::earliestArrival(TimePoint after) const
{
    const TimePoint now = m_clock.now();
    const bool isStalled = m_lastTick != TimePoint() && now > m_lastTick + stallThreshold;
    if (isStalled) {
        return std::max(after, m_lastTick);
    }
    return m_stallEnd > after ? std::max(after, m_stallStart) : now;
}

bool StoreView::mayLackEvacuations() const
{
    const TimePoint now = m_clock.now();
    const bool isStalled = m_lastTick != TimePoint() && now > m_lastTick + stallThreshold;
    const bool wasStalled = m_stallEnd != TimePoint() && now < m_stallEnd + stallRecoveryTime;
    if (!m_evacuations.isEnabled() || !(isStalled || wasStalled)) {
        return false;
    }
    // A view that was too old before the stall is that of an instance without a connection, or the store is down.
    const TimePoint stallStart = isStalled ? m_lastTick : m_stallStart;
    const TimePoint limit = m_evacuations.age().confirmed() + evacuationDelay;
    return stallStart <= limit && limit < now;
}

void StoreView::confirmServers(TimePoint time)
{
    if (time > m_serversAge.confirmed() + maxConfirmationGap) {
        m_confirmationGapEnd = time;
    }
    m_serversAge.confirm(time);
}

void StoreView::confirmConfiguration(StorePosition position, TimePoint time)
{
    advanceCheckedPosition(position);
    m_configurationAge.confirm(time);
}

void StoreView::advanceCheckedPosition(StorePosition position)
{
    recordEra("configuration", m_configurationCheckedPosition, position);
    m_configurationCheckedPosition = std::max(m_configurationCheckedPosition, position);
}

ViewStatus StoreView::viewStatus() const
{
    return { m_directory.position(), m_configuration.version, m_configuration.position, m_configurationCheckedPosition,
        m_serversAge.confirmed(), m_configurationAge.confirmed(), m_evacuations.position(), m_evacuations.age().confirmed() };
}

bool StoreView::recordEra(std::string_view view, StorePosition before, StorePosition now)
{
    const bool hasChanged = !before.isUnset() && now.era() > before.era();
    if (hasChanged) {
        m_events.record(EventSeverity::Warning, "store_era_changed",
            { { "view", std::string(view) }, { "before", number(before.era()) }, { "era", number(now.era()) },
                { "revision_before", number(before.revision()) }, { "revision", number(now.revision()) } });
    }
    return hasChanged;
}

bool StoreView::isContinuous() const
{
    // Entries that expired during an outage of the store are missing for a while after it.
    const TimePoint now = m_clock.now();
    return now <= m_serversAge.confirmed() + maxConfirmationGap && now >= m_confirmationGapEnd + ServerDirectory::relistGracePeriod;
}

bool StoreView::isReady() const
{
    return !m_configuration.position.isUnset() && !m_directory.position().isUnset() && m_evacuations.isReady();
}

const StreamConfiguration &StoreView::configuration() const
{
    return m_configuration;
}

TimePoint StoreView::routeRemovalsProvenUntil() const
{
    // A store that returned from an older copy may hold a version that has the route.
    const bool isInStore = m_configuration.position.era() == m_configurationCheckedPosition.era();
    const bool provesRemovals = isInStore && !m_configuration.hasUnreadableRoutes;
    const TimePoint confirmed = m_configurationAge.confirmed();
    return provesRemovals && confirmed != TimePoint() ? confirmed - maxConfirmationDelay : TimePoint();
}

TimePoint StoreView::confirmationGapEnd() const
{
    return m_confirmationGapEnd;
}

const ViewAge &StoreView::serversAge() const
{
    return m_serversAge;
}

const ViewAge &StoreView::configurationAge() const
{
    return m_configurationAge;
}

const ServerDirectory &StoreView::directory() const
{
    return m_directory;
}

ServerDirectory &StoreView::directory()
{
    return m_directory;
}

const EvacuationView &StoreView::evacuations() const
{
    return m_evacuations;
}

EvacuationView &StoreView::evacuations()
{
    return m_evacuations;
}

void StoreView::recordTick()
{
    const TimePoint now = m_clock.now();
    if (m_lastTick != TimePoint() && now > m_lastTick + stallThreshold) {
        // Between two stalls in a row there may have been no time to process everything that had arrived.
        const bool continues = m_stallEnd != TimePoint() && m_lastTick < m_stallEnd + stallThreshold;
        m_stallStart = continues ? m_stallStart : m_lastTick;
        m_stallEnd = now;
        m_events.record(EventSeverity::Warning, "process_stalled",
            { { "stalled_ms",
                number(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastTick).count())) } });
    }
    m_lastTick = now;
}

void StoreView::recordFlowEvent(
    EventSeverity severity, std::string_view name, Endpoint client, Endpoint service, std::vector<EventField> fields) const
{
    const TimePoint now = m_clock.now();
    std::vector<EventField> all { { "flow", client.toString() + '>' + service.toString() } };
    std::move(fields.begin(), fields.end(), std::back_inserter(all));
    all.push_back({ "configuration", number(m_configuration.version) });
    all.push_back({ "configuration_age_ms", m_configurationAge.text(now) });
    all.push_back({ "servers_era", number(m_directory.position().era()) });
    all.push_back({ "servers_revision", number(m_directory.position().revision()) });
    all.push_back({ "servers_age_ms", m_serversAge.text(now) });
    m_events.record(severity, name, std::move(all));
}

void StoreView::writeMetrics(MetricWriter &writer) const
{
    const TimePoint now = m_clock.now();
    writer.gauge(
        "samphirepitch_configuration_version", "Version of the configuration in force.", {}, static_cast<double>(m_configuration.version));
    writer.gauge("samphirepitch_store_era", "Era of the store that a view is from; it rises when the store returns from an older copy.",
        { { "view", "servers" } }, static_cast<double>(m_directory.position().era()));
    writer.gauge("samphirepitch_store_era", "Era of the store that a view is from; it rises when the store returns from an older copy.",
        { { "view", "configuration" } }, static_cast<double>(m_configurationCheckedPosition.era()));
    writer.gauge("samphirepitch_configuration_age_seconds", "Seconds since the configuration was last confirmed.", {},
        m_configurationAge.seconds(now));
    writer.gauge(
        "samphirepitch_servers_age_seconds", "Seconds since the list of servers was last confirmed.", {}, m_serversAge.seconds(now));
    writer.gauge("samphirepitch_server_entries_unused", "Entries of backend servers for services that no configuration has used.", {},
        static_cast<double>(m_directory.unused().size()));
    writer.counter(
        "samphirepitch_server_index_rebuilds_total", "Rebuilds of the indexes of backend servers.", {}, m_directory.rebuildCount());
    writer.gauge(
        "samphirepitch_servers_listed", "Backend servers that discovery lists.", {}, static_cast<double>(m_directory.all().size()));
    m_evacuations.writeMetrics(writer);
}

} // namespace Samphirepitch
