#include "stream/discoveryfollower.h"

#include "stream/streamrouter.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

using std::chrono::milliseconds;

// A list is one call of a few milliseconds, or several for many servers; a slow store may take seconds.
constexpr milliseconds readTimeout { 2500 };

// What an answer may take beyond the wait that was asked for.
constexpr milliseconds waitMargin { 600 };

// How often an instance that does not read looks whether it has to.
constexpr milliseconds dutyInterval { 50 };

// The pauses after failed calls: short at first, so that an instance that the store refused for a moment does not lag behind.
constexpr milliseconds firstPause { 100 };
constexpr milliseconds longestPause { 800 };

// The longest pause grows with the number of instances that look for the store, since the first one to reach it tells the others:
// the store is then asked about 5 times a second by all together, and no instance stays away for longer than the last limit.
constexpr milliseconds pausePerReader { 200 };
constexpr milliseconds longestSharedPause { 4000 };

// Several changes that come together are answered by one call if the next one starts a little later.
constexpr milliseconds gatherTime { 40 };

} // namespace

DiscoveryFollower::DiscoveryFollower(Parts parts, Waits waits)
    : m_clock(parts.clock)
    , m_timer(parts.timer)
    , m_random(parts.random)
    , m_events(parts.events)
    , m_discovery(parts.discovery)
    , m_router(parts.router)
    , m_duty(parts.duty)
    , m_waits(waits)
{
}

asio::awaitable<Result<void>> DiscoveryFollower::followServers()
{
    while (true) {
        const bool follows = m_duty.followsStore();
        if (!follows && !m_duty.mustRead(m_router.viewMark().serversConfirmed)) {
            co_await m_timer.waitUntil(m_clock.now() + dutyInterval);
            continue;
        }
        if (m_servers.historyGone || m_router.viewMark().serversRevision == 0) {
            co_await listServers();
        } else {
            co_await awaitServers(follows ? m_waits.servers : milliseconds(0));
        }
        if (m_servers.failures > 0) {
            co_await pause(m_servers);
        }
    }
}

asio::awaitable<Result<void>> DiscoveryFollower::followConfiguration()
{
    while (true) {
        const bool follows = m_duty.followsStore();
        if (!follows && !m_duty.mustRead(m_router.viewMark().configurationConfirmed)) {
            co_await m_timer.waitUntil(m_clock.now() + dutyInterval);
            continue;
        }
        if (m_configuration.historyGone || m_router.viewMark().configurationChecked == 0) {
            co_await readConfiguration();
        } else {
            co_await awaitConfiguration(follows ? m_waits.configuration : milliseconds(0));
        }
        if (m_configuration.failures > 0) {
            co_await pause(m_configuration);
        }
    }
}

asio::awaitable<void> DiscoveryFollower::listServers()
{
    ++m_servers.calls;
    const TimePoint asked = m_clock.now();
    Result<ServerList> list = co_await m_discovery.servers(asked + readTimeout);
    if (!list) {
        failed(m_servers, list.error());
        co_return;
    }
    succeeded(m_servers);
    std::vector<std::string> unreadable;
    for (const DiscoveryFault &fault : list->faults) {
        recordFault("server_entry_refused", fault);
        unreadable.push_back(fault.subject);
    }
    m_router.replaceServers(list->servers, unreadable, list->revision, asked);
    m_duty.serversRead(0, { {}, list->revision });
}

asio::awaitable<void> DiscoveryFollower::awaitServers(milliseconds wait)
{
    ++m_servers.calls;
    const std::uint64_t from = m_router.viewMark().serversRevision;
    const TimePoint asked = m_clock.now();
    Result<ServerUpdates> updates = co_await m_discovery.serverUpdates(from, wait, asked + wait + waitMargin);
    if (!updates) {
        failed(m_servers, updates.error());
        co_return;
    }
    succeeded(m_servers);
    const bool changed = !updates->updates.empty();
    take(*std::move(updates), from, wait.count() == 0 ? asked : m_clock.now());
    if (changed) {
        co_await m_timer.waitUntil(m_clock.now() + gatherTime);
    }
}

asio::awaitable<void> DiscoveryFollower::readConfiguration()
{
    ++m_configuration.calls;
    const TimePoint asked = m_clock.now();
    Result<ConfigurationRead> read = co_await m_discovery.configuration(asked + readTimeout);
    if (!read) {
        failed(m_configuration, read.error());
        co_return;
    }
    succeeded(m_configuration);
    take(*std::move(read), asked);
}

asio::awaitable<void> DiscoveryFollower::awaitConfiguration(milliseconds wait)
{
    ++m_configuration.calls;
    const TimePoint asked = m_clock.now();
    const std::uint64_t from = m_router.viewMark().configurationChecked;
    Result<ConfigurationRead> read = co_await m_discovery.configurationUpdate(from, wait, asked + wait + waitMargin);
    if (!read) {
        failed(m_configuration, read.error());
        co_return;
    }
    succeeded(m_configuration);
    take(*std::move(read), wait.count() == 0 ? asked : m_clock.now());
}

void DiscoveryFollower::take(ServerUpdates updates, std::uint64_t from, TimePoint asked)
{
    for (const ServerUpdate &update : updates.updates) {
        if (update.fault) {
            recordFault("server_entry_refused", *update.fault);
        }
    }
    m_router.applyServerUpdates(updates, asked);
    m_duty.serversRead(from, updates);
}

void DiscoveryFollower::take(ConfigurationRead read, TimePoint asked)
{
    if (read.fault) {
        recordFault("configuration_refused", *read.fault);
    }
    if (read.configuration) {
        m_router.applyConfiguration(*std::move(read.configuration));
    }
    m_router.confirmConfiguration(read.revision, asked);
    m_duty.configurationRead();
}

bool DiscoveryFollower::storeIsReachable() const
{
    return m_servers.reachable && m_configuration.reachable;
}

void DiscoveryFollower::succeeded(Feed &feed)
{
    feed.failures = 0;
    feed.historyGone = false;
    if (feed.reachable) {
        return;
    }
    feed.reachable = true;
    const auto lost = std::chrono::duration_cast<milliseconds>(m_clock.now() - feed.lostAt);
    m_events.record(
        EventSeverity::Info, "store_regained", { { "feed", std::string(feed.name) }, { "lost_ms", std::to_string(lost.count()) } });
    m_duty.storeReachable(storeIsReachable());
}

void DiscoveryFollower::failed(Feed &feed, const Error &error)
{
    ++feed.failures;
    ++feed.failedCalls;
    if (error.kind() == ErrorKind::HistoryGone) {
        // Only a complete list says what happened since.
        feed.historyGone = true;
        feed.failures = 0;
        m_events.record(EventSeverity::Info, "store_history_gone", { { "feed", std::string(feed.name) } });
        return;
    }
    if (feed.reachable) {
        feed.reachable = false;
        feed.lostAt = m_clock.now();
        m_duty.storeReachable(false);
    }
    m_events.record(EventSeverity::Warning, "store_call_failed",
        { { "feed", std::string(feed.name) }, { "kind", std::string(errorKindName(error.kind())) }, { "error", error.describe() },
            { "in_a_row", std::to_string(feed.failures) } });
}

asio::awaitable<void> DiscoveryFollower::pause(Feed &feed)
{
    const auto doubled = firstPause * (std::int64_t { 1 } << std::min<std::uint64_t>(feed.failures - 1, 6));
    const milliseconds shared = pausePerReader * static_cast<std::int64_t>(m_duty.readers());
    const std::chrono::nanoseconds longest
        = std::min<std::chrono::nanoseconds>(doubled, std::clamp(shared, longestPause, longestSharedPause));
    // Half of the pause is random, so that instances that lost the store together do not return together.
    const std::chrono::nanoseconds half = longest / 2;
    const auto jitter = std::chrono::nanoseconds(m_random.below(static_cast<std::uint64_t>(half.count()) + 1));
    co_await m_timer.waitUntil(m_clock.now() + half + jitter);
}

void DiscoveryFollower::recordFault(std::string_view name, const DiscoveryFault &fault)
{
    ++m_faults;
    m_events.record(EventSeverity::Warning, name, { { "subject", fault.subject }, { "reason", fault.reason } });
}

void DiscoveryFollower::writeMetrics(MetricWriter &writer) const
{
    for (const Feed *const feed : { &m_servers, &m_configuration }) {
        writer.counter("samphirepitch_store_calls_total", "Calls to the store.", { { "feed", feed->name } }, feed->calls);
        writer.counter("samphirepitch_store_failed_calls_total", "Calls that failed.", { { "feed", feed->name } }, feed->failedCalls);
        writer.gauge(
            "samphirepitch_store_reachable", "Whether the last call succeeded.", { { "feed", feed->name } }, feed->reachable ? 1 : 0);
    }
    writer.counter("samphirepitch_discovery_faults_total", "Entries and configurations that could not be used.", {}, m_faults);
}

} // namespace Samphirepitch
