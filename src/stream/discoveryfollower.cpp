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
constexpr milliseconds waitMargin { 700 };

// The pauses after failed calls: short at first, so that an instance that the store refused for a moment does not lag behind.
constexpr milliseconds firstPause { 100 };
constexpr milliseconds longestPause { 800 };

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
    , m_waits(waits)
{
}

asio::awaitable<Result<void>> DiscoveryFollower::followServers()
{
    while (true) {
        if (m_servers.revision == 0) {
            co_await listServers();
        } else {
            co_await awaitServers();
        }
        if (m_servers.failures > 0) {
            co_await pause(m_servers);
        }
    }
}

asio::awaitable<Result<void>> DiscoveryFollower::followConfiguration()
{
    while (true) {
        if (m_configuration.revision == 0) {
            co_await readConfiguration();
        } else {
            co_await awaitConfiguration();
        }
        if (m_configuration.failures > 0) {
            co_await pause(m_configuration);
        }
    }
}

asio::awaitable<void> DiscoveryFollower::listServers()
{
    ++m_servers.calls;
    Result<ServerList> list = co_await m_discovery.servers(m_clock.now() + readTimeout);
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
    m_servers.revision = list->revision;
    m_router.serversListed(list->servers, unreadable, list->revision);
}

asio::awaitable<void> DiscoveryFollower::awaitServers()
{
    ++m_servers.calls;
    const TimePoint deadline = m_clock.now() + m_waits.servers + waitMargin;
    Result<ServerUpdates> updates = co_await m_discovery.serverUpdates(m_servers.revision, m_waits.servers, deadline);
    if (!updates) {
        failed(m_servers, updates.error());
        co_return;
    }
    succeeded(m_servers);
    const bool changed = !updates->updates.empty();
    take(*std::move(updates));
    if (changed) {
        co_await m_timer.waitUntil(m_clock.now() + gatherTime);
    }
}

asio::awaitable<void> DiscoveryFollower::readConfiguration()
{
    ++m_configuration.calls;
    Result<ConfigurationRead> read = co_await m_discovery.configuration(m_clock.now() + readTimeout);
    if (!read) {
        failed(m_configuration, read.error());
        co_return;
    }
    succeeded(m_configuration);
    take(*std::move(read));
}

asio::awaitable<void> DiscoveryFollower::awaitConfiguration()
{
    ++m_configuration.calls;
    const TimePoint deadline = m_clock.now() + m_waits.configuration + waitMargin;
    Result<ConfigurationRead> read = co_await m_discovery.configurationUpdate(m_configuration.revision, m_waits.configuration, deadline);
    if (!read) {
        failed(m_configuration, read.error());
        co_return;
    }
    succeeded(m_configuration);
    take(*std::move(read));
}

void DiscoveryFollower::take(ServerUpdates updates)
{
    for (ServerUpdate &update : updates.updates) {
        if (update.listed) {
            m_router.serverListed(*update.listed);
        } else if (update.unlisted) {
            m_router.serverUnlisted(*update.unlisted, update.revision);
        } else if (update.fault) {
            recordFault("server_entry_refused", *update.fault);
        }
    }
    m_servers.revision = std::max(m_servers.revision, updates.revision);
    m_router.serversConfirmed();
}

void DiscoveryFollower::take(ConfigurationRead read)
{
    m_configuration.revision = std::max(m_configuration.revision, read.revision);
    if (read.fault) {
        recordFault("configuration_refused", *read.fault);
        return;
    }
    if (read.configuration) {
        m_router.adopt(*std::move(read.configuration));
    }
    m_router.configurationConfirmed();
}

void DiscoveryFollower::succeeded(Feed &feed)
{
    feed.failures = 0;
    if (feed.reachable) {
        return;
    }
    feed.reachable = true;
    const auto lost = std::chrono::duration_cast<milliseconds>(m_clock.now() - feed.lostAt);
    m_events.record(
        EventSeverity::Info, "store_regained", { { "feed", std::string(feed.name) }, { "lost_ms", std::to_string(lost.count()) } });
    m_router.storeReachable(m_servers.reachable && m_configuration.reachable);
}

void DiscoveryFollower::failed(Feed &feed, const Error &error)
{
    ++feed.failures;
    ++feed.failedCalls;
    // Only a complete list says which entries went while nothing could be read.
    feed.revision = 0;
    if (error.kind() == ErrorKind::HistoryGone) {
        feed.failures = 0;
        m_events.record(EventSeverity::Info, "store_history_gone", { { "feed", std::string(feed.name) } });
        return;
    }
    if (feed.reachable) {
        feed.reachable = false;
        feed.lostAt = m_clock.now();
        m_router.storeReachable(false);
    }
    m_events.record(EventSeverity::Warning, "store_call_failed",
        { { "feed", std::string(feed.name) }, { "kind", std::string(errorKindName(error.kind())) }, { "error", error.describe() },
            { "in_a_row", std::to_string(feed.failures) } });
}

asio::awaitable<void> DiscoveryFollower::pause(Feed &feed)
{
    const auto doubled = firstPause * (std::int64_t { 1 } << std::min<std::uint64_t>(feed.failures - 1, 4));
    const std::chrono::nanoseconds longest = std::min<std::chrono::nanoseconds>(doubled, longestPause);
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
