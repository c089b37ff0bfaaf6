#include "stream/discoverywatcher.h"

#include "stream/streamrouter.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

using std::chrono::milliseconds;

// Time limit of a complete read. It is one call of a few milliseconds, or several calls for many servers; a slow store may take seconds.
constexpr milliseconds readTimeout { 2500 };

// Time that the response of a long poll may take beyond the wait that was asked for.
constexpr milliseconds responseMargin { 600 };

// Interval at which an instance that does not watch the store checks whether it has to read it.
constexpr milliseconds readCheckInterval { 50 };

// Delays after failed calls. The first ones are short, so that an instance does not fall behind after a single rejected call.
constexpr milliseconds initialBackoff { 100 };
constexpr milliseconds maxBackoff { 800 };

// The longest delay grows with the number of instances that retry, because the first one that reaches the store informs the others. All
// instances together then call the store about 5 times a second. The upper bound limits how long each instance waits.
constexpr milliseconds backoffPerInstance { 200 };
constexpr milliseconds maxSharedBackoff { 4000 };

// Delay of the next long poll after a change, so that one call returns several changes that happen at about the same time.
constexpr milliseconds batchDelay { 40 };

// Lines for the parts of one version of the configuration that can't be used. A line with their number follows.
constexpr std::size_t maxIgnoredLines = 8;

// Interval at which a store that doesn't know evacuations is asked for them. It answers at once, so there is no long poll. An evacuation
// must be in force 5 s after it was written, and 15% of the calls of the two other tasks are one call in 3.3 s.
constexpr milliseconds unknownKindInterval { 3400 };

// If the evacuations were not confirmed for this long, such as after the end of another reader, the first call doesn't wait for a change.
// All other instances would read them otherwise, before a long poll is over.
constexpr milliseconds maxUnconfirmedWait { 1500 };

// Odd evacuation entries that are remembered, each with up to 200 bytes, so that each is counted and logged once. Further ones are not.
constexpr std::size_t maxOddEvacuations = 256;

} // namespace

DiscoveryWatcher::DiscoveryWatcher(Dependencies dependencies, LongPollWaits longPollWaits)
    : m_clock(dependencies.clock)
    , m_timer(dependencies.timer)
    , m_random(dependencies.random)
    , m_events(dependencies.events)
    , m_discovery(dependencies.discovery)
    , m_router(dependencies.router)
    , m_coordinator(dependencies.coordinator)
    , m_longPollWaits(longPollWaits)
{
}

asio::awaitable<Result<void>> DiscoveryWatcher::watchServers()
{
    while (true) {
        const bool watches = m_coordinator.watchesStore();
        if (!watches && !m_coordinator.mustRead(m_router.viewStatus().serversConfirmedAt)) {
            co_await m_timer.waitUntil(m_clock.now() + readCheckInterval);
            continue;
        }
        if (m_servers.historyGone || m_router.viewStatus().serversPosition.isUnset()) {
            co_await listServers();
        } else {
            co_await awaitServerUpdates(watches ? m_longPollWaits.servers : milliseconds(0));
        }
        if (m_servers.failures > 0) {
            co_await backOff(m_servers);
        }
    }
}

asio::awaitable<Result<void>> DiscoveryWatcher::watchConfiguration()
{
    while (true) {
        const bool watches = m_coordinator.watchesStore();
        if (!watches && !m_coordinator.mustRead(m_router.viewStatus().configurationConfirmedAt)) {
            co_await m_timer.waitUntil(m_clock.now() + readCheckInterval);
            continue;
        }
        if (m_configuration.historyGone || m_router.viewStatus().configurationCheckedPosition.isUnset()) {
            co_await readConfiguration();
        } else {
            co_await awaitConfigurationUpdate(watches ? m_longPollWaits.configuration : milliseconds(0));
        }
        if (m_configuration.failures > 0) {
            co_await backOff(m_configuration);
        }
    }
}

asio::awaitable<Result<void>> DiscoveryWatcher::watchEvacuations()
{
    while (true) {
        const bool watches = m_coordinator.watchesStore();
        const ViewStatus view = m_router.viewStatus();
        if (!watches && !m_coordinator.mustReadEvacuations(view.evacuationsConfirmedAt)) {
            co_await m_timer.waitUntil(m_clock.now() + readCheckInterval);
            continue;
        }
        if (m_evacuations.historyGone || view.evacuationsPosition.isUnset()) {
            co_await listEvacuations();
        } else {
            const bool isRecent = m_clock.now() <= view.evacuationsConfirmedAt + maxUnconfirmedWait;
            co_await awaitEvacuationUpdates(watches && isRecent ? m_longPollWaits.evacuations : milliseconds(0));
        }
        if (m_evacuations.failures > 0) {
            co_await backOff(m_evacuations);
        }
    }
}

asio::awaitable<void> DiscoveryWatcher::listServers()
{
    ++m_servers.calls;
    const TimePoint callStart = m_clock.now();
    Result<ServerList> list = co_await m_discovery.listServers(callStart + readTimeout);
    if (!list) {
        recordFailure(m_servers, list.error());
        co_return;
    }
    if (!checkEra(m_servers, m_router.viewStatus().serversPosition, list->position)) {
        co_return;
    }
    recordSuccess(m_servers);
    std::vector<std::string> unreadable;
    for (const DiscoveryFault &fault : list->faults) {
        recordFault("server_entry_refused", fault);
        unreadable.push_back(fault.subject);
    }
    m_router.replaceServers(list->servers, unreadable, list->position, callStart);
    m_coordinator.publishServerUpdates(0, { {}, list->position });
}

asio::awaitable<void> DiscoveryWatcher::awaitServerUpdates(milliseconds wait)
{
    ++m_servers.calls;
    const StorePosition from = m_router.viewStatus().serversPosition;
    m_servers.askedFrom = from;
    const TimePoint callStart = m_clock.now();
    Result<ServerUpdates> updates = co_await m_discovery.awaitServerUpdates(from.revision(), wait, callStart + wait + responseMargin);
    if (!updates) {
        recordFailure(m_servers, updates.error());
        co_return;
    }
    if (!checkContinuation(m_servers, m_router.viewStatus().serversPosition, updates->position)) {
        co_return;
    }
    recordSuccess(m_servers);
    if (updates->endedEarly) {
        co_await m_timer.waitUntil(m_clock.now() + initialBackoff);
        co_return;
    }
    const bool changed = !updates->updates.empty();
    const TimePoint confirmedAt = confirmationTime(callStart, wait, changed);
    apply(*std::move(updates), from.revision(), confirmedAt);
    if (changed) {
        co_await m_timer.waitUntil(m_clock.now() + batchDelay);
    }
}

asio::awaitable<void> DiscoveryWatcher::readConfiguration()
{
    ++m_configuration.calls;
    const TimePoint callStart = m_clock.now();
    Result<ConfigurationRead> read = co_await m_discovery.readConfiguration(callStart + readTimeout);
    if (!read) {
        recordFailure(m_configuration, read.error());
        co_return;
    }
    if (!checkEra(m_configuration, m_router.viewStatus().configurationCheckedPosition, read->position)) {
        co_return;
    }
    recordSuccess(m_configuration);
    apply(*std::move(read), callStart);
}

asio::awaitable<void> DiscoveryWatcher::awaitConfigurationUpdate(milliseconds wait)
{
    ++m_configuration.calls;
    const TimePoint callStart = m_clock.now();
    const StorePosition from = m_router.viewStatus().configurationCheckedPosition;
    m_configuration.askedFrom = from;
    Result<ConfigurationRead> read
        = co_await m_discovery.awaitConfigurationUpdate(from.revision(), wait, callStart + wait + responseMargin);
    if (!read) {
        recordFailure(m_configuration, read.error());
        co_return;
    }
    if (!checkContinuation(m_configuration, m_router.viewStatus().configurationCheckedPosition, read->position)) {
        co_return;
    }
    recordSuccess(m_configuration);
    if (read->endedEarly) {
        co_await m_timer.waitUntil(m_clock.now() + initialBackoff);
        co_return;
    }
    const TimePoint confirmedAt = confirmationTime(callStart, wait, read->configuration || read->fault);
    apply(*std::move(read), confirmedAt);
}

asio::awaitable<void> DiscoveryWatcher::listEvacuations()
{
    ++m_evacuations.calls;
    const TimePoint callStart = m_clock.now();
    const StorePosition known = m_router.viewStatus().evacuationsPosition;
    const Result<EvacuationList> list = co_await m_discovery.listEvacuations(callStart + readTimeout);
    if (!list) {
        recordFailure(m_evacuations, list.error());
        co_return;
    }
    if (!checkEra(m_evacuations, m_router.viewStatus().evacuationsPosition, list->position)) {
        co_return;
    }
    recordSuccess(m_evacuations);
    recordOddEvacuations(list->odd);
    EvacuationView &view = m_router.evacuations();
    if (!list->isUnknownKind) {
        m_coordinator.publishEvacuations(view.replaceAll(list->evacuations, list->position, callStart));
        co_return;
    }
    if (view.position() != known) {
        co_return; // another instance has read evacuations since the call, so the store knows the kind by now
    }
    m_coordinator.publishEvacuations(view.clear(list->position.era(), callStart));
    m_evacuations.historyGone = true; // a watch would be answered like this call, without a wait
    co_await m_timer.waitUntil(m_clock.now() + unknownKindInterval);
}

asio::awaitable<void> DiscoveryWatcher::awaitEvacuationUpdates(milliseconds wait)
{
    ++m_evacuations.calls;
    const StorePosition from = m_router.viewStatus().evacuationsPosition;
    m_evacuations.askedFrom = from;
    const TimePoint callStart = m_clock.now();
    // A call without a wait is as long as a read. With the margin of a long poll, a slow store would never answer in time.
    const milliseconds limit = wait.count() > 0 ? wait + responseMargin : readTimeout;
    const Result<EvacuationUpdates> updates = co_await m_discovery.awaitEvacuationUpdates(from.revision(), wait, callStart + limit);
    if (!updates) {
        recordFailure(m_evacuations, updates.error());
        co_return;
    }
    if (!checkContinuation(m_evacuations, m_router.viewStatus().evacuationsPosition, updates->position)) {
        co_return;
    }
    recordSuccess(m_evacuations);
    recordOddEvacuations(updates->odd);
    if (updates->endedEarly) {
        co_await m_timer.waitUntil(m_clock.now() + initialBackoff);
        co_return;
    }
    const bool hasUpdates = !updates->updates.empty();
    const TimePoint confirmedAt = confirmationTime(callStart, wait, hasUpdates);
    m_coordinator.publishEvacuations(m_router.evacuations().apply(updates->updates, updates->position, confirmedAt));
    if (hasUpdates) {
        co_await m_timer.waitUntil(m_clock.now() + batchDelay);
    }
}

TimePoint DiscoveryWatcher::confirmationTime(TimePoint callStart, milliseconds wait, bool changed) const
{
    // The store responds as soon as there is a change, and otherwise at the end of the wait. The response may be processed much later.
    const TimePoint arrival = m_router.earliestArrival(callStart);
    return changed && wait.count() > 0 ? arrival : std::min(arrival, callStart + wait);
}

void DiscoveryWatcher::apply(ServerUpdates updates, std::uint64_t from, TimePoint confirmedAt)
{
    for (const ServerUpdate &update : updates.updates) {
        if (update.fault) {
            recordFault("server_entry_refused", *update.fault);
        }
    }
    m_router.applyServerUpdates(updates, confirmedAt);
    m_coordinator.publishServerUpdates(from, updates);
}

void DiscoveryWatcher::apply(ConfigurationRead read, TimePoint confirmedAt)
{
    if (read.fault) {
        recordFault("configuration_refused", *read.fault);
        m_router.recordUnreadableConfiguration(read.position);
    }
    if (read.configuration) {
        recordIgnored(*read.configuration, read.ignored);
        m_router.applyConfiguration(*std::move(read.configuration));
    }
    m_router.confirmConfiguration(read.position, confirmedAt);
    m_coordinator.publishConfiguration();
}

bool DiscoveryWatcher::checkEra(Feed &feed, StorePosition known, StorePosition response)
{
    if (response.era() >= known.era()) {
        return true;
    }
    recordFailure(feed, Error(ErrorKind::Malformed, "store", "the response is of an earlier era of the store than the known one"));
    return false;
}

bool DiscoveryWatcher::checkContinuation(Feed &feed, StorePosition known, StorePosition response)
{
    if (!checkEra(feed, known, response)) {
        return false;
    }
    if (response.era() == feed.askedFrom.era()) {
        return true;
    }
    // The store has returned from an older copy: it has given out the revision again, and may have changed entries below it.
    recordFailure(feed, Error(ErrorKind::HistoryGone, "store", "the store is in another era than the revision of the call"));
    return false;
}

bool DiscoveryWatcher::storeIsReachable() const
{
    return m_servers.reachable && m_configuration.reachable && m_evacuations.reachable;
}

void DiscoveryWatcher::recordSuccess(Feed &feed)
{
    feed.failures = 0;
    feed.historyGone = false;
    if (feed.reachable) {
        return;
    }
    feed.reachable = true;
    const auto outage = std::chrono::duration_cast<milliseconds>(m_clock.now() - feed.unreachableSince);
    m_events.record(
        EventSeverity::Info, "store_regained", { { "feed", std::string(feed.name) }, { "lost_ms", std::to_string(outage.count()) } });
    m_coordinator.setStoreReachable(storeIsReachable());
}

void DiscoveryWatcher::recordFailure(Feed &feed, const Error &error)
{
    ++feed.failures;
    ++feed.failedCalls;
    if (error.kind() == ErrorKind::HistoryGone) {
        // The missed changes can only be recovered by a complete read, which needs no delay.
        feed.historyGone = true;
        feed.failures = 0;
        m_events.record(EventSeverity::Info, "store_history_gone",
            { { "feed", std::string(feed.name) }, { "reason", error.describe() }, { "era", std::to_string(feed.askedFrom.era()) },
                { "revision", std::to_string(feed.askedFrom.revision()) } });
        return;
    }
    // A response with many changes may be above the limit each time. A complete read has pages of bounded size.
    feed.historyGone = feed.historyGone || error.kind() == ErrorKind::TooLarge;
    if (feed.reachable) {
        feed.reachable = false;
        feed.unreachableSince = m_clock.now();
        m_coordinator.setStoreReachable(false);
    }
    m_events.record(EventSeverity::Warning, "store_call_failed",
        { { "feed", std::string(feed.name) }, { "kind", std::string(errorKindName(error.kind())) }, { "error", error.describe() },
            { "in_a_row", std::to_string(feed.failures) } });
}

asio::awaitable<void> DiscoveryWatcher::backOff(Feed &feed)
{
    const auto doubled = initialBackoff * (std::int64_t { 1 } << std::min<std::uint64_t>(feed.failures - 1, 6));
    const milliseconds shared = backoffPerInstance * static_cast<std::int64_t>(m_coordinator.retryingInstances());
    const std::chrono::nanoseconds backoff = std::min<std::chrono::nanoseconds>(doubled, std::clamp(shared, maxBackoff, maxSharedBackoff));
    // Half of the delay is random, so that instances that lost the store at the same time do not retry at the same time.
    const std::chrono::nanoseconds half = backoff / 2;
    const auto jitter = std::chrono::nanoseconds(m_random.below(static_cast<std::uint64_t>(half.count()) + 1));
    co_await m_timer.waitUntil(m_clock.now() + half + jitter);
}

void DiscoveryWatcher::recordFault(std::string_view name, const DiscoveryFault &fault)
{
    ++m_faultCount;
    m_events.record(EventSeverity::Warning, name, { { "subject", fault.subject }, { "reason", fault.reason } });
}

void DiscoveryWatcher::recordOddEvacuations(const std::vector<DiscoveryFault> &odd)
{
    for (const DiscoveryFault &fault : odd) {
        if (m_oddEvacuations.size() < maxOddEvacuations && m_oddEvacuations.insert(fault.subject + '\n' + fault.reason).second) {
            m_events.record(EventSeverity::Warning, "evacuation_entry_odd", { { "subject", fault.subject }, { "reason", fault.reason } });
        }
    }
}

void DiscoveryWatcher::recordIgnored(const StreamConfiguration &configuration, const std::vector<DiscoveryFault> &ignored)
{
    // The same version is read again after the store has lost its history.
    if (ignored.empty() || configuration.position == m_reportedConfiguration) {
        return;
    }
    m_reportedConfiguration = configuration.position;
    m_ignoredCount += ignored.size();
    const std::string version = std::to_string(configuration.version);
    for (std::size_t index = 0; index < std::min(ignored.size(), maxIgnoredLines); ++index) {
        m_events.record(EventSeverity::Warning, "configuration_value_ignored",
            { { "version", version }, { "subject", ignored[index].subject }, { "reason", ignored[index].reason } });
    }
    m_events.record(
        EventSeverity::Warning, "configuration_partly_used", { { "version", version }, { "ignored", std::to_string(ignored.size()) } });
}

void DiscoveryWatcher::writeMetrics(MetricWriter &writer) const
{
    std::vector<const Feed *> feeds { &m_servers, &m_configuration };
    if (m_router.evacuations().isEnabled()) {
        feeds.push_back(&m_evacuations);
        writer.counter("samphirepitch_evacuation_entries_odd_total", "Evacuation entries with an odd content or an unreadable name.", {},
            m_oddEvacuations.size());
    }
    for (const Feed *const feed : feeds) {
        writer.counter("samphirepitch_store_calls_total", "Calls to the store, by feed.", { { "feed", feed->name } }, feed->calls);
        writer.counter("samphirepitch_store_failed_calls_total", "Calls to the store that failed, by feed.", { { "feed", feed->name } },
            feed->failedCalls);
        writer.gauge("samphirepitch_store_reachable", "1 if the last call to the store succeeded, otherwise 0, by feed.",
            { { "feed", feed->name } }, feed->reachable ? 1 : 0);
    }
    writer.counter("samphirepitch_configuration_ignored_values_total",
        "Unknown or invalid values of configurations that were read, counted once for each version.", {}, m_ignoredCount);
    writer.counter("samphirepitch_discovery_faults_total", "Invalid server entries and configurations that were read.", {}, m_faultCount);
}

} // namespace Samphirepitch
