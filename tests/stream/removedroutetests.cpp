#include "stream/routerfixture.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;
using Action = StreamDecision::Action;

namespace
{

/** A router and three versions of the configuration: with a route, without it, and with it again. */
class RemovedRouteFixture : public RouterFixture
{
public:
    RemovedRouteFixture()
    {
        makeReady({ server(1) });
        removed.routes.clear();
        confirm();
    }

    /** Records that the configuration in force is still the newest one. */
    void confirm(std::uint64_t era = 0)
    {
        ++m_revision;
        router.confirmConfiguration({ era, m_revision }, clock.now());
    }

    StreamDecision sendData(std::uint32_t sequence = 101, std::uint32_t acknowledgement = 55)
    {
        return send(token, sequence, 900, acknowledgement);
    }

    const std::uint32_t token = ServerDirectory::tokenOf(server(1));
    StreamConfiguration removed = configuration(30);
    StreamConfiguration restored = configuration(40);

private:
    std::uint64_t m_revision = 100;
};

} // namespace

TEST_CASE_METHOD(RemovedRouteFixture, "an instance that lacks the version with a restored route resets no flow that others opened by it",
    "[stream][router][removedroute]")
{
    // Guards against resets of open flows whose route is back: after many instances died, the others have different versions for a while.
    SECTION("the packets arrive after the version without the route")
    {
        router.applyConfiguration(removed);
        confirm();
        advanceClock(milliseconds(700));
        CHECK(sendData().action == Action::Drop);
        advanceClock(milliseconds(200));
        CHECK(sendData().action == Action::Drop);
    }
    SECTION("the packets arrive before the version without the route")
    {
        advanceClock(milliseconds(700));
        CHECK(sendData().action == Action::Forward);
        advanceClock(milliseconds(200));
        router.applyConfiguration(removed);
        CHECK(sendData().action == Action::Drop);
    }
    router.tick();
    CHECK(router.takeResets().empty());
    CHECK(events.count("flow_reset") == 0);
    advanceClock(milliseconds(100));
    router.applyConfiguration(restored);
    confirm();
    CHECK(sendData().action == Action::Forward);
    advanceClock(milliseconds(10000));
    confirm();
    router.tick();
    CHECK(router.takeResets().empty());
}

TEST_CASE_METHOD(RemovedRouteFixture, "the flows of a removed route are reset at once if they were open before the removal",
    "[stream][router][removedroute]")
{
    // Guards against clients that wait for a response until their time limit although their route is gone.
    sendData();
    advanceClock(milliseconds(5000));
    confirm();
    router.applyConfiguration(removed);
    const std::vector<StreamReset> resets = router.takeResets();
    REQUIRE(resets.size() == 1);
    CHECK(resets.front() == StreamReset { client, service, 55 });
    CHECK(events.last("flow_reset").find("reason=route_removed") != std::string::npos);
    // The reset may be lost.
    const StreamDecision next = sendData();
    CHECK(next.action == Action::Reset);
    CHECK(next.outcome == StreamOutcome::RouteRemoved);
    confirm();
    CHECK(router.takeResets().empty());
}

TEST_CASE_METHOD(
    RemovedRouteFixture, "a removed route serves no flow, however old the instance's view is", "[stream][router][removedroute]")
{
    // Guards against a route that goes on because its removal is not proven yet.
    const StreamDecision before = open();
    REQUIRE(before.action == Action::Forward);
    sendData();
    router.applyConfiguration(removed);
    for (const milliseconds step : { milliseconds(0), milliseconds(1000), milliseconds(60000) }) {
        advanceClock(step);
        router.tick();
        CHECK(sendData().action == Action::Drop);
        const StreamDecision opening = open(Endpoint(0x64400009, 1));
        CHECK(opening.action == Action::Reset);
        CHECK(opening.outcome == StreamOutcome::NoRoute);
    }
    CHECK(router.takeResets().empty());
}

TEST_CASE_METHOD(RemovedRouteFixture, "a flow without a route is reset once no newer version existed while it was open",
    "[stream][router][removedroute]")
{
    // Guards against clients of a removed route that get no answer at all: the flow moved to this instance after the removal, or the
    // instance has started after it.
    router.applyConfiguration(removed);
    confirm();
    advanceClock(milliseconds(200));
    CHECK(sendData().action == Action::Drop);
    advanceClock(StoreView::maxConfirmationDelay - milliseconds(1));
    confirm(); // the state of the store that it describes may be from before the packet
    CHECK(router.takeResets().empty());
    advanceClock(milliseconds(1));
    confirm();
    const std::vector<StreamReset> resets = router.takeResets();
    REQUIRE(resets.size() == 1);
    CHECK(resets.front() == StreamReset { client, service, 55 });
}

TEST_CASE_METHOD(
    RemovedRouteFixture, "no flow is reset for a missing route while the store can't be asked", "[stream][router][removedroute]")
{
    // Guards against an instance that was paused or cut off and ends flows by the version that it knew before.
    router.applyConfiguration(removed);
    confirm();
    advanceClock(milliseconds(30000));
    CHECK(sendData().action == Action::Drop);
    router.tick();
    CHECK(router.takeResets().empty());
    SECTION("a message that waited during the pause is no proof")
    {
        router.confirmConfiguration({ 0, 200 }, clock.now() - milliseconds(29000));
        CHECK(router.takeResets().empty());
    }
    SECTION("a newer version has the route")
    {
        router.applyConfiguration(restored);
        confirm();
        CHECK(sendData().action == Action::Forward);
    }
    SECTION("the version is still the newest")
    {
        advanceClock(StoreView::maxConfirmationDelay);
        confirm();
        CHECK(router.takeResets().size() == 1);
    }
}

TEST_CASE_METHOD(RemovedRouteFixture, "a version that a returned store lacks is no proof that a route was removed",
    "[stream][router][removedroute][era]")
{
    // Guards against resets of flows that other instances opened by the older version that the store holds again.
    router.applyConfiguration(removed);
    CHECK(sendData().action == Action::Drop);
    advanceClock(milliseconds(5000));
    confirm(1);
    CHECK(router.takeResets().empty());
    CHECK(sendData().action == Action::Drop);
    SECTION("the returned store holds the version after all")
    {
        StreamConfiguration again = removed;
        again.position = { 1, 300 };
        CHECK(router.applyConfiguration(again));
        CHECK(router.takeResets().size() == 1);
    }
    SECTION("the operator writes a later version with the route")
    {
        StreamConfiguration later = restored;
        later.position = { 1, 300 };
        CHECK(router.applyConfiguration(later));
        CHECK(router.takeResets().empty());
        CHECK(sendData().action == Action::Forward);
    }
}

TEST_CASE_METHOD(RemovedRouteFixture, "the proof that one flow lost its route doesn't count for the next flow from the same port",
    "[stream][router][removedroute]")
{
    // Guards against a reset of a flow that another instance opened by a newer version, for the age of an earlier one.
    router.applyConfiguration(removed);
    CHECK(sendData().action == Action::Drop);
    SECTION("another flow follows")
    {
        advanceClock(milliseconds(4000));
        CHECK(sendData(700'000'000, 800'000'000).action == Action::Drop);
        confirm();
        CHECK(router.takeResets().empty());
    }
    SECTION("another flow follows after the reset")
    {
        advanceClock(milliseconds(4000));
        confirm();
        CHECK(router.takeResets().size() == 1);
        CHECK(sendData(700'000'000, 800'000'000).action == Action::Drop);
    }
    SECTION("both ends have closed the flow")
    {
        finish(token, 1001, 655);
        advanceClock(milliseconds(4000));
        confirm();
        CHECK(router.takeResets().empty());
    }
}

TEST_CASE_METHOD(RemovedRouteFixture, "a version with routes that can't be read is no proof that a route was removed",
    "[stream][router][removedroute][odd]")
{
    // Guards against resets of open flows whose route exists: another build wrote it in a form that this one doesn't know.
    sendData();
    advanceClock(milliseconds(5000));
    confirm();
    SECTION("some routes of the version can't be read")
    {
        removed.hasUnreadableRoutes = true;
        router.applyConfiguration(removed);
        CHECK(router.takeResets().empty());
        CHECK(sendData().action == Action::Drop);
        CHECK(open(Endpoint(0x64400009, 1)).action == Action::Reset);
    }
    SECTION("a newer version can't be read at all")
    {
        router.applyConfiguration(removed);
        router.takeResets();
        const Endpoint other(0x64400009, 1);
        send(token, 101, 900, 55, other);
        router.recordUnreadableConfiguration({ 0, 200 });
        advanceClock(milliseconds(5000));
        confirm();
        CHECK(router.takeResets().empty());
        CHECK(router.viewStatus().configurationPosition == StorePosition(0, 200)); // other instances fetch what has changed
        StreamConfiguration readable = configuration(210);
        readable.routes.clear();
        CHECK(router.applyConfiguration(readable));
        CHECK(router.takeResets().size() == 1);
    }
    SECTION("no version can be read after the start")
    {
        StreamRouter started({ clock, random, events, selector, times }, "a", 1000);
        started.recordUnreadableConfiguration({ 0, 200 });
        CHECK(started.viewStatus().configurationPosition.isUnset());
    }
}
