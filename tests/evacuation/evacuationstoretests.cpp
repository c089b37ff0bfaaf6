#include "platform/storediscovery.h"
#include "soak/storestandin.h"
#include "stream/discoverywatcher.h"
#include "stream/routerfixture.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <functional>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;

namespace
{

// Ends a test that hangs; the awaited conditions normally hold within some tens of milliseconds.
constexpr std::chrono::seconds waitLimit { 20 };

/** The only instance, which reads for itself. */
class LoneReader : public StoreReadCoordinator
{
public:
    bool watchesStore() const override
    {
        return true;
    }

    bool mustRead(TimePoint) const override
    {
        return false;
    }

    bool mustReadEvacuations(TimePoint) const override
    {
        return false;
    }

    std::size_t retryingInstances() const override
    {
        return 1;
    }

    void publishServerUpdates(std::uint64_t, const ServerUpdates &) override
    {
    }

    void publishConfiguration() override
    {
    }

    void publishEvacuations(bool) override
    {
    }

    void setStoreReachable(bool) override
    {
    }
};

/** A router that reads evacuations from a store. */
class StoreFixture
{
public:
    StoreFixture()
    {
        router.evacuations().enable();
        asio::co_spawn(context, watcher.watchEvacuations(), asio::detached);
    }

    ~StoreFixture()
    {
        context.stop();
    }

    bool isEvacuated(const std::string &domain)
    {
        return router.evacuations().isEvacuated(domain, clock.now());
    }

    bool runUntil(const std::function<bool()> &done)
    {
        const TimePoint limit = clock.now() + waitLimit;
        while (!done() && clock.now() < limit) {
            context.run_one_for(milliseconds(5));
        }
        return done();
    }

    asio::io_context context;
    SteadyClock clock;
    SteadyTimer timer { clock };
    SeededRandom random { 20261206 };
    EventCollector events;
    TimeCollector times;
    LeastFlowsSelector selector;
    Soak::StoreStandin store { context.get_executor(), clock };
    StoreDiscovery discovery { context.get_executor(), clock, store.address() };
    StreamRouter router { { clock, random, events, selector, times }, "a", 1000 };
    LoneReader coordinator;
    DiscoveryWatcher watcher { { clock, timer, random, events, discovery, router, coordinator }, {} };
};

} // namespace

TEST_CASE_METHOD(StoreFixture, "evacuations follow the store through an outage, a lost history and an older copy", "[evacuation][store]")
{
    // Guards against an instance that believes an old set after the store has failed in one of these ways.
    REQUIRE(runUntil([this] { return router.evacuations().isReady(); }));
    store.put("evacuations", "oslo-a", nlohmann::json::object());
    store.put("evacuations", "oslo-b", nlohmann::json::object());
    REQUIRE(runUntil([this] { return isEvacuated("oslo-a") && isEvacuated("oslo-b"); }));
    SECTION("withdrawn at once")
    {
        store.put("evacuations", "oslo-c", nlohmann::json::object());
        store.remove("evacuations", "oslo-c");
        store.remove("evacuations", "oslo-b");
        REQUIRE(runUntil([this] { return !isEvacuated("oslo-b"); }));
        CHECK_FALSE(isEvacuated("oslo-c"));
        CHECK(events.last("evacuation_ended").find("revision=" + std::to_string(store.revision())) != std::string::npos);
    }
    SECTION("withdrawn during an outage that dropped the history")
    {
        store.setUnavailable(true);
        REQUIRE(runUntil([this] { return events.count("store_call_failed") > 0; }));
        CHECK(isEvacuated("oslo-a"));
        store.remove("evacuations", "oslo-a");
        store.compact();
        store.setUnavailable(false);
        REQUIRE(runUntil([this] { return !isEvacuated("oslo-a"); }));
    }
    SECTION("lost by an older copy, then written again and deleted")
    {
        store.restore(std::chrono::hours(1));
        REQUIRE(runUntil([this] { return router.evacuations().position().era() == 2; }));
        CHECK(isEvacuated("oslo-a"));
        store.put("evacuations", "oslo-a", "odd");
        REQUIRE(runUntil([this] { return events.count("evacuation_entry_odd") == 1; }));
        CHECK(isEvacuated("oslo-a"));
        store.remove("evacuations", "oslo-a");
        REQUIRE(runUntil([this] { return !isEvacuated("oslo-a"); }));
    }
    CHECK(events.count("evacuation_begun") - events.count("evacuation_ended") == router.evacuations().all().count);
}
