#include "fakes/await.h"
#include "fakes/faketimer.h"
#include "stream/discoverywatcher.h"
#include "stream/routerfixture.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <stdexcept>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;

namespace
{

/** Ends the endless loop of a watcher when no scripted results are left. */
struct ScriptEnded : std::runtime_error {
    ScriptEnded()
        : std::runtime_error("the script ended")
    {
    }
};

/** Returns scripted results and records the calls. */
class ScriptedDiscovery : public Discovery
{
public:
    asio::awaitable<Result<ServerList>> listServers(TimePoint) override
    {
        calls.push_back("list");
        co_return next(lists);
    }

    asio::awaitable<Result<ServerUpdates>> awaitServerUpdates(std::uint64_t revision, milliseconds wait, TimePoint) override
    {
        lastWait = wait;
        calls.push_back("watch " + std::to_string(revision));
        if (onWatch) {
            onWatch();
        }
        co_return next(updates);
    }

    asio::awaitable<Result<ConfigurationRead>> readConfiguration(TimePoint) override
    {
        calls.push_back("read");
        co_return next(reads);
    }

    asio::awaitable<Result<ConfigurationRead>> awaitConfigurationUpdate(std::uint64_t revision, milliseconds, TimePoint) override
    {
        calls.push_back("watch " + std::to_string(revision));
        co_return next(reads);
    }

    asio::awaitable<Result<EvacuationList>> listEvacuations(TimePoint) override
    {
        calls.push_back("list");
        if (onWatch) {
            onWatch();
        }
        co_return next(evacuationLists);
    }

    asio::awaitable<Result<EvacuationUpdates>> awaitEvacuationUpdates(std::uint64_t revision, milliseconds wait, TimePoint) override
    {
        evacuationWaits.push_back(wait);
        calls.push_back("watch " + std::to_string(revision));
        co_return next(evacuationUpdates);
    }

    std::deque<Result<EvacuationList>> evacuationLists;
    std::deque<Result<EvacuationUpdates>> evacuationUpdates;
    std::deque<Result<ServerList>> lists;
    std::deque<Result<ServerUpdates>> updates;
    std::deque<Result<ConfigurationRead>> reads;
    std::vector<std::string> calls;
    milliseconds lastWait { -1 };
    std::vector<milliseconds> evacuationWaits;
    std::function<void()> onWatch; // called while a call for changes of servers or for all evacuations is under way

private:
    template<typename Value>
    static Value next(std::deque<Value> &script)
    {
        if (script.empty()) {
            throw ScriptEnded();
        }
        Value value = std::move(script.front());
        script.pop_front();
        return value;
    }
};

/** Returns scripted decisions and records what the watcher publishes. */
class ScriptedCoordinator : public StoreReadCoordinator
{
public:
    bool watchesStore() const override
    {
        return watches;
    }

    bool mustRead(TimePoint) const override
    {
        if (reads == 0) {
            throw ScriptEnded();
        }
        --reads;
        return true;
    }

    bool mustReadEvacuations(TimePoint lastConfirmed) const override
    {
        return mustRead(lastConfirmed);
    }

    void publishEvacuations(bool changed) override
    {
        published.push_back(changed ? "evacuations" : "evacuations confirmed");
    }

    void publishServerUpdates(std::uint64_t from, const ServerUpdates &updates) override
    {
        published.push_back(std::to_string(from) + " to " + std::to_string(updates.position.revision()));
    }

    void publishConfiguration() override
    {
    }

    void setStoreReachable(bool reachable) override
    {
        published.push_back(reachable ? "reachable" : "not reachable");
    }

    std::size_t retryingInstances() const override
    {
        return count;
    }

    bool watches = true;
    std::size_t count = 1;
    mutable int reads = 0;
    std::vector<std::string> published;
};

class WatcherFixture : public RouterFixture
{
public:
    void watchServers()
    {
        router.applyConfiguration(configuration(1)); // so that the service of the servers is in use
        CHECK_THROWS_AS(await(watcher.watchServers()), ScriptEnded);
    }

    void watchConfiguration()
    {
        CHECK_THROWS_AS(await(watcher.watchConfiguration()), ScriptEnded);
    }

    void watchEvacuations()
    {
        router.evacuations().enable();
        CHECK_THROWS_AS(await(watcher.watchEvacuations()), ScriptEnded);
    }

    static tl::unexpected<Error> unavailable()
    {
        return failure(ErrorKind::Unavailable, "store", "the store reports an outage");
    }

    ScriptedDiscovery discovery;
    FakeTimer timer { clock };
    ScriptedCoordinator coordinator;
    DiscoveryWatcher watcher { { clock, timer, random, events, discovery, router, coordinator }, {} };
};

} // namespace

TEST_CASE_METHOD(WatcherFixture, "servers are listed once and then watched from the revision of the list", "[stream][discoverywatcher]")
{
    discovery.lists.push_back(ServerList { { server(1) }, {}, { 0, 10 } });
    discovery.updates.push_back(ServerUpdates { {}, { 0, 12 } });
    ServerUpdate removal;
    removal.unlisted = "i-1";
    removal.position = { 0, 13 };
    discovery.updates.push_back(ServerUpdates { { removal }, { 0, 13 } });
    watchServers();
    CHECK(discovery.calls == std::vector<std::string> { "list", "watch 10", "watch 12", "watch 13" });
    CHECK(router.directory().listed("pond").empty());
}

TEST_CASE_METHOD(WatcherFixture, "a response that is processed late doesn't confirm the servers at that time", "[stream][discoverywatcher]")
{
    // Guards against taking servers for ended whose entries came back after the store had sent the response.
    discovery.lists.push_back(ServerList { { server(1) }, {}, { 0, 10 } });
    router.tick();
    const TimePoint callStart = clock.now();
    SECTION("a response without changes")
    {
        discovery.updates.push_back(ServerUpdates { {}, { 0, 10 } });
        discovery.onWatch = [this] { clock.advance(milliseconds(1500)); };
        watchServers();
        CHECK(router.viewStatus().serversConfirmedAt <= callStart + milliseconds(1000));
    }
    SECTION("a response with changes, and a stall of the process")
    {
        ServerUpdate update;
        update.listed = server(2);
        update.listed->position = { 0, 12 };
        update.position = { 0, 12 };
        discovery.updates.push_back(ServerUpdates { { update }, { 0, 12 } });
        discovery.onWatch = [this] {
            clock.advance(milliseconds(4000));
            router.tick();
        };
        watchServers();
        CHECK(router.viewStatus().serversConfirmedAt == callStart);
    }
}

TEST_CASE_METHOD(
    WatcherFixture, "a response without changes that comes before the end of the wait confirms nothing", "[stream][discoverywatcher][late]")
{
    // It may be a late copy of an earlier response, which says nothing about the time since then.
    discovery.lists.push_back(ServerList { { server(1) }, {}, { 0, 10 } });
    ServerUpdates early { {}, { 0, 10 } };
    early.endedEarly = true;
    discovery.updates.push_back(early);
    const TimePoint listed = clock.now();
    discovery.onWatch = [this] { clock.advance(milliseconds(300)); };
    watchServers();
    CHECK(router.viewStatus().serversConfirmedAt == listed);
    CHECK(discovery.calls == std::vector<std::string> { "list", "watch 10", "watch 10" });
    CHECK(events.count("store_call_failed") == 0);
    // A store that ends each wait at once is not called in a tight loop.
    CHECK(clock.now() >= listed + milliseconds(300 + 100 + 300));
}

TEST_CASE_METHOD(WatcherFixture, "servers are listed again without delay after the store lost the history", "[stream][discoverywatcher]")
{
    discovery.lists.push_back(ServerList { { server(1), server(2) }, {}, { 0, 10 } });
    discovery.updates.push_back(failure(ErrorKind::HistoryGone, "store", "gone"));
    discovery.lists.push_back(ServerList { { server(2) }, {}, { 0, 40 } });
    const TimePoint before = clock.now();
    watchServers();
    CHECK(discovery.calls == std::vector<std::string> { "list", "watch 10", "list", "watch 40" });
    CHECK(clock.now() == before);
    CHECK(router.directory().listed("pond").size() == 1);
    CHECK(events.count("store_history_gone") == 1);
}

TEST_CASE_METHOD(WatcherFixture, "calls are retried with growing delays during an outage, and its start and end are each published once",
    "[stream][discoverywatcher]")
{
    discovery.lists.push_back(ServerList { { server(1) }, {}, { 0, 10 } });
    for (int count = 0; count < 8; ++count) {
        discovery.updates.push_back(unavailable());
    }
    discovery.updates.push_back(ServerUpdates { {}, { 0, 50 } });
    const TimePoint before = clock.now();
    watchServers();
    const auto waited = clock.now() - before;
    CHECK(waited > milliseconds(2000));
    CHECK(waited < milliseconds(5000));
    CHECK(events.count("store_call_failed") == 8);
    CHECK(events.count("store_regained") == 1);
    CHECK(coordinator.published == std::vector<std::string> { "0 to 10", "not reachable", "reachable", "10 to 50" });
    CHECK(discovery.calls.back() == "watch 50");
    CHECK(router.directory().listed("pond").size() == 1);
}

TEST_CASE_METHOD(WatcherFixture, "the total rate of retries and the delay of each instance are bounded during an outage of the store",
    "[stream][discoverywatcher]")
{
    // Every call to the store has a cost, also a rejected one, and the first instance that reaches the store informs the others.
    coordinator.count = GENERATE(1, 10, 78, 5000);
    CAPTURE(coordinator.count);
    discovery.lists.push_back(ServerList { { server(1) }, {}, { 0, 10 } });
    constexpr int failures = 20;
    for (int count = 0; count < failures; ++count) {
        discovery.updates.push_back(unavailable());
    }
    const TimePoint before = clock.now();
    watchServers();
    const double waited = std::chrono::duration<double>(clock.now() - before).count();
    CHECK(waited / failures < 4.0);
    if (coordinator.count <= 10) {
        CHECK(static_cast<double>(coordinator.count) * failures / waited < 12.0);
    }
}

TEST_CASE_METHOD(WatcherFixture, "an invalid configuration leaves the previous one in force", "[stream][discoverywatcher]")
{
    discovery.reads.push_back(ConfigurationRead { configuration(4), {}, { 0, 10 } });
    discovery.reads.push_back(ConfigurationRead { {}, DiscoveryFault { "main", "no routes" }, { 0, 11 } });
    discovery.reads.push_back(ConfigurationRead { configuration(12), {}, { 0, 12 } });
    discovery.reads.push_back(ConfigurationRead { {}, {}, { 0, 14 } });
    watchConfiguration();
    CHECK(discovery.calls == std::vector<std::string> { "read", "watch 10", "watch 11", "watch 12", "watch 14" });
    CHECK(events.count("configuration_refused") == 1);
    CHECK(router.configuration().position.revision() == 12);
}

TEST_CASE_METHOD(WatcherFixture, "while the newest configuration can't be read, a missing route counts as one of its routes",
    "[stream][discoverywatcher][odd]")
{
    // Guards against resets of open flows whose route is back in a version that only newer builds can read.
    discovery.reads.push_back(ConfigurationRead { configuration(4), {}, { 0, 10 } });
    discovery.reads.push_back(ConfigurationRead { {}, DiscoveryFault { "main", "no routes" }, { 0, 11 } });
    SECTION("it stays the newest")
    {
        watchConfiguration();
        CHECK(router.configuration().routes == configuration(4).routes);
        CHECK(router.configuration().hasUnreadableRoutes);
        CHECK(router.configuration().position == StorePosition(0, 11));
    }
    SECTION("one that can be read follows")
    {
        discovery.reads.push_back(ConfigurationRead { configuration(12), {}, { 0, 12 } });
        watchConfiguration();
        CHECK(router.configuration() == configuration(12));
    }
}

TEST_CASE_METHOD(WatcherFixture,
    "the parts of a configuration that can't be used are counted and logged once a version, with a bounded number of lines",
    "[stream][discoverywatcher][odd]")
{
    ConfigurationRead read { configuration(4), {}, { 0, 10 } };
    read.ignored.assign(500, { "r-1", "the kind of requests is unknown" });
    discovery.reads.push_back(read);
    discovery.reads.push_back(failure(ErrorKind::HistoryGone, "store", "gone"));
    read.position = { 0, 12 };
    discovery.reads.push_back(read);
    watchConfiguration();
    CHECK(router.configuration().position.revision() == 4);
    CHECK(events.count("configuration_value_ignored") == 8);
    CHECK(events.count("configuration_partly_used") == 1);
}

TEST_CASE_METHOD(
    WatcherFixture, "changes that are too large for one response are followed by a complete list", "[stream][discoverywatcher][odd]")
{
    // Guards against a watch that asks for the same changes for ever and never hears of a later one.
    discovery.lists.push_back(ServerList { { server(1) }, {}, { 0, 10 } });
    discovery.updates.push_back(failure(ErrorKind::TooLarge, "store", "the body is above the limit"));
    discovery.lists.push_back(ServerList { { server(2) }, {}, { 0, 40 } });
    watchServers();
    CHECK(discovery.calls == std::vector<std::string> { "list", "watch 10", "list", "watch 40" });
    CHECK(router.directory().listed("pond").size() == 1);
}

TEST_CASE_METHOD(
    WatcherFixture, "an entry that can't be read for a while is used again as soon as it can be", "[stream][discoverywatcher][odd]")
{
    discovery.lists.push_back(ServerList { { server(1) }, {}, { 0, 10 } });
    ServerUpdate fault;
    fault.fault = DiscoveryFault { "i-1", "slots is 0" };
    fault.position = { 0, 11 };
    ServerUpdate sound;
    sound.listed = server(1);
    sound.listed->phase = ServerPhase::Draining;
    sound.listed->position = { 0, 12 };
    sound.position = { 0, 12 };
    discovery.updates.push_back(ServerUpdates { { fault, sound }, { 0, 12 } });
    ServerUpdate removal;
    removal.unlisted = "i-1";
    removal.position = { 0, 14 };
    discovery.updates.push_back(ServerUpdates { { fault }, { 0, 13 } });
    discovery.updates.push_back(ServerUpdates { { removal }, { 0, 14 } });
    watchServers();
    CHECK(router.directory().listed("pond").empty());
    CHECK(router.directory().findId(server(1).id)->server.phase == ServerPhase::Draining);
    CHECK(discovery.calls.back() == "watch 14");
}

TEST_CASE_METHOD(WatcherFixture, "an unreadable entry is reported and the servers stay listed", "[stream][discoverywatcher]")
{
    discovery.lists.push_back(ServerList { { server(1) }, { { "i-9", "state is not a text string" } }, { 0, 10 } });
    ServerUpdate fault;
    fault.fault = DiscoveryFault { "i-1", "slots is 0" };
    fault.position = { 0, 11 };
    discovery.updates.push_back(ServerUpdates { { fault }, { 0, 11 } });
    watchServers();
    CHECK(events.count("server_entry_refused") == 2);
    CHECK(router.directory().listed("pond").size() == 1);
}

TEST_CASE_METHOD(
    WatcherFixture, "an instance that does not watch the store reads it with one call that does not wait", "[stream][discoverywatcher]")
{
    // Guards against complete lists being read by all instances at once when the reader fails.
    makeReady({ server(1) });
    coordinator.watches = false;
    coordinator.reads = 1;
    discovery.updates.push_back(ServerUpdates { {}, { 0, 12 } });
    watchServers();
    CHECK(discovery.calls == std::vector<std::string> { "watch 10" });
    CHECK(discovery.lastWait == milliseconds(0));
}

TEST_CASE_METHOD(WatcherFixture, "changes are published with the revision that they follow", "[stream][discoverywatcher]")
{
    discovery.lists.push_back(ServerList { { server(1) }, {}, { 0, 10 } });
    ServerUpdate removal;
    removal.unlisted = "i-1";
    removal.position = { 0, 13 };
    discovery.updates.push_back(ServerUpdates { { removal }, { 0, 13 } });
    watchServers();
    CHECK(coordinator.published == std::vector<std::string> { "0 to 10", "10 to 13" });
}

TEST_CASE_METHOD(WatcherFixture, "after the store returned with lower revisions, servers are watched from the revision of the new list",
    "[stream][discoverywatcher][era]")
{
    // Guards against a loop of 410 and complete lists that lasts until the store's revision has passed the old one.
    discovery.lists.push_back(ServerList { { server(1) }, {}, { 0, 60 } });
    discovery.updates.push_back(failure(ErrorKind::HistoryGone, "store", "gone"));
    StreamServer added = server(2);
    added.position = { 1, 19 };
    discovery.lists.push_back(ServerList { { added }, {}, { 1, 20 } });
    discovery.updates.push_back(ServerUpdates { {}, { 1, 22 } });
    watchServers();
    CHECK(discovery.calls == std::vector<std::string> { "list", "watch 60", "list", "watch 20", "watch 22" });
    CHECK(router.directory().findId("i-2") != nullptr);
    CHECK(events.count("store_era_changed") == 1);
}

TEST_CASE_METHOD(WatcherFixture, "a long poll that a returned store answers is followed by a complete list without delay",
    "[stream][discoverywatcher][era]")
{
    // Guards against entries that are missed: once the revisions have passed the old one, the store answers without 410.
    discovery.lists.push_back(ServerList { { server(1) }, {}, { 0, 60 } });
    ServerUpdate removal;
    removal.unlisted = "i-1";
    removal.position = { 1, 63 };
    discovery.updates.push_back(ServerUpdates { { removal }, { 1, 64 } });
    StreamServer added = server(2);
    added.position = { 1, 30 };
    discovery.lists.push_back(ServerList { { added }, {}, { 1, 64 } });
    const TimePoint before = clock.now();
    watchServers();
    CHECK(discovery.calls == std::vector<std::string> { "list", "watch 60", "list", "watch 64" });
    CHECK(clock.now() == before);
    CHECK(router.directory().findId("i-2") != nullptr);
    CHECK(coordinator.published == std::vector<std::string> { "0 to 60", "0 to 64" });
}

TEST_CASE_METHOD(WatcherFixture, "a configuration that a returned store holds is read completely and watched from there",
    "[stream][discoverywatcher][era]")
{
    // Guards against an added route that is not served: the store gives out the revisions below the old one again.
    const std::vector<std::string> calls { "read", "watch 60", "read", "watch 20" };
    StreamConfiguration written = configuration(60);
    written.position = { 1, 19 };
    written.version = configuration(50).version + 1;
    discovery.reads.push_back(ConfigurationRead { configuration(50), {}, { 0, 60 } });
    SECTION("the store lacks the revision")
    {
        discovery.reads.push_back(failure(ErrorKind::HistoryGone, "store", "gone"));
    }
    SECTION("the store has passed the revision")
    {
        discovery.reads.push_back(ConfigurationRead { {}, {}, { 1, 61 } });
    }
    discovery.reads.push_back(ConfigurationRead { written, {}, { 1, 20 } });
    watchConfiguration();
    CHECK(discovery.calls == calls);
    CHECK(router.configuration() == written);
}

TEST_CASE_METHOD(WatcherFixture, "a response of an earlier era than the known one is ignored and retried after a delay",
    "[stream][discoverywatcher][era]")
{
    // Guards against a view that goes back when a peer has told of the returned store first and an old response arrives late.
    discovery.lists.push_back(ServerList { { server(1) }, {}, { 1, 20 } });
    discovery.updates.push_back(ServerUpdates { {}, { 0, 64 } });
    discovery.updates.push_back(ServerUpdates { {}, { 1, 21 } });
    const TimePoint before = clock.now();
    watchServers();
    CHECK(discovery.calls == std::vector<std::string> { "list", "watch 20", "watch 20", "watch 21" });
    CHECK(clock.now() > before);
    CHECK(router.viewStatus().serversPosition == StorePosition(1, 21));
    CHECK(events.count("store_call_failed") == 1);
}

TEST_CASE_METHOD(WatcherFixture, "evacuations are listed, watched and listed again after the history is gone or the era has changed",
    "[stream][discoverywatcher][evacuation]")
{
    discovery.evacuationLists.push_back(EvacuationList { { { "a", { 1, 5 } } }, {}, { 1, 10 } });
    discovery.evacuationUpdates.push_back(EvacuationUpdates { { { "b", false, { 1, 12 } } }, {}, { 1, 12 } });
    discovery.evacuationUpdates.push_back(failure(ErrorKind::HistoryGone, "store", "gone"));
    discovery.evacuationLists.push_back(EvacuationList { { { "b", { 1, 12 } } }, {}, { 1, 40 } });
    discovery.evacuationUpdates.push_back(EvacuationUpdates { {}, {}, { 2, 20 } });
    discovery.evacuationLists.push_back(EvacuationList { {}, {}, { 2, 20 } });
    watchEvacuations();
    CHECK(discovery.calls == std::vector<std::string> { "list", "watch 10", "watch 12", "list", "watch 40", "list", "watch 20" });
    CHECK(discovery.evacuationWaits == std::vector<milliseconds>(4, milliseconds(4000)));
    CHECK(coordinator.published == std::vector<std::string> { "evacuations", "evacuations", "evacuations", "evacuations confirmed" });
    CHECK_FALSE(router.evacuations().isEvacuated("a", clock.now()));
    CHECK(router.evacuations().isEvacuated("b", clock.now())); // the new era may have lost the request
}

TEST_CASE_METHOD(
    WatcherFixture, "the known evacuations stay in force during an outage of the store", "[stream][discoverywatcher][evacuation]")
{
    discovery.evacuationLists.push_back(EvacuationList { { { "a", { 1, 5 } } }, {}, { 1, 10 } });
    for (int count = 0; count < 100; ++count) {
        discovery.evacuationUpdates.push_back(unavailable());
    }
    watchEvacuations();
    CHECK(router.evacuations().isEvacuated("a", clock.now()));
    CHECK(coordinator.published == std::vector<std::string> { "evacuations", "not reachable" });
}

TEST_CASE_METHOD(WatcherFixture, "an instance that becomes the reader or reads for itself doesn't wait for a change of evacuations",
    "[stream][discoverywatcher][evacuation]")
{
    // Guards against all instances that read the evacuations at once, since a long poll of the next reader confirms them too late.
    router.evacuations().enable();
    router.evacuations().replaceAll({}, { 1, 10 }, clock.now());
    clock.advance(milliseconds(1600));
    SECTION("the reader")
    {
        discovery.evacuationUpdates.push_back(EvacuationUpdates { {}, {}, { 1, 12 } });
        watchEvacuations();
        CHECK(discovery.evacuationWaits == std::vector<milliseconds> { milliseconds(0), milliseconds(4000) });
        CHECK(router.viewStatus().evacuationsConfirmedAt == clock.now());
        CHECK(coordinator.published == std::vector<std::string> { "evacuations confirmed" });
    }
    SECTION("another instance")
    {
        coordinator.watches = false;
        coordinator.reads = 1;
        discovery.evacuationUpdates.push_back(EvacuationUpdates { {}, {}, { 1, 12 } });
        watchEvacuations();
        CHECK(discovery.evacuationWaits == std::vector<milliseconds> { milliseconds(0) });
    }
}

TEST_CASE_METHOD(WatcherFixture, "a store that doesn't know evacuations is asked about once in three seconds and holds no packet",
    "[stream][discoverywatcher][evacuation]")
{
    const TimePoint start = clock.now();
    for (int count = 0; count < 10; ++count) {
        EvacuationList unknown { .position = { 1, 0 } };
        unknown.isUnknownKind = true;
        discovery.evacuationLists.push_back(unknown);
    }
    discovery.evacuationLists.push_back(EvacuationList { { { "a", { 1, 5 } } }, {}, { 1, 10 } });
    watchEvacuations();
    CHECK(clock.now() >= start + std::chrono::seconds(30));
    CHECK(router.evacuations().isEvacuated("a", clock.now()));
    CHECK(discovery.calls.back() == "watch 10");
}

TEST_CASE_METHOD(WatcherFixture, "a late answer that the store doesn't know evacuations ends none that another instance has read since",
    "[stream][discoverywatcher][evacuation]")
{
    // Guards against new flows to an evacuated domain: the first evacuation was written after the store had answered this instance.
    router.evacuations().enable();
    EvacuationList unknown { .position = { 1, 0 } };
    unknown.isUnknownKind = true;
    discovery.evacuationLists.push_back(unknown);
    discovery.evacuationUpdates.push_back(EvacuationUpdates { { { "a", true, { 1, 9 } } }, {}, { 1, 9 } });
    discovery.onWatch = [this] { router.evacuations().merge({ .count = 1, .evacuations = { { "a", { 1, 7 } } } }, { 1, 7 }, clock.now()); };
    SECTION("the evacuation is in force")
    {
        discovery.evacuationUpdates.clear();
        watchEvacuations();
        CHECK(router.evacuations().isEvacuated("a", clock.now()));
        CHECK(router.evacuations().position() == StorePosition(1, 7));
    }
    SECTION("the evacuation is withdrawn later")
    {
        watchEvacuations();
        CHECK_FALSE(router.evacuations().isEvacuated("a", clock.now()));
    }
    CHECK(discovery.calls[1] == "watch 7");
}

TEST_CASE_METHOD(WatcherFixture, "an odd evacuation entry is logged once, and the number of lines is bounded",
    "[stream][discoverywatcher][evacuation][odd]")
{
    EvacuationList list { { { "a", { 1, 5 } } }, {}, { 1, 10 } };
    for (int number = 0; number < 1000; ++number) {
        list.odd.push_back({ "x-" + std::to_string(number), "spec is not an object" });
    }
    discovery.evacuationLists.push_back(list);
    discovery.evacuationUpdates.push_back(failure(ErrorKind::HistoryGone, "store", "gone"));
    discovery.evacuationLists.push_back(list);
    watchEvacuations();
    CHECK(events.count("evacuation_entry_odd") == 256);
}
