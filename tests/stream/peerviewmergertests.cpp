#include "stream/peerviewmerger.h"
#include "stream/routerfixture.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;
using Action = StreamDecision::Action;

namespace
{

/** An instance that knows of the store only what a peer tells. Its configuration lacks a route that was removed. */
class MergerFixture : public RouterFixture
{
public:
    MergerFixture()
    {
        makeReady({ server(1) });
        removed.routes.clear();
    }

    /** Returns the view of a peer that has @p configuration in force, confirmed @p age ago. */
    ViewStatus viewOf(const StreamConfiguration &configuration, milliseconds age) const
    {
        const TimePoint confirmed = clock.now() - age;
        return { .serversPosition = { 0, 10 },
            .configurationVersion = configuration.version,
            .configurationPosition = configuration.position,
            .configurationCheckedPosition = configuration.position,
            .serversConfirmedAt = confirmed,
            .configurationConfirmedAt = confirmed };
    }

    bool hear(const StreamConfiguration &configuration, milliseconds age)
    {
        return merger.apply(GossipMessage { .view = viewOf(configuration, age) });
    }

    void pull(const StreamConfiguration &configuration, milliseconds age)
    {
        merger.apply(PeerState { .view = viewOf(configuration, age), .configuration = configuration });
    }

    StreamDecision sendData()
    {
        return send(ServerDirectory::tokenOf(server(1)), 101, 900, 55);
    }

    StreamConfiguration before = configuration(4);
    StreamConfiguration removed = configuration(30);
    StreamConfiguration restored = configuration(40);
    PeerViewMerger merger { router };
};

} // namespace

TEST_CASE_METHOD(MergerFixture, "a route that a peer reports as removed stops at once, and its flows are reset once that is confirmed",
    "[stream][peerviewmerger][removedroute]")
{
    // Guards against a removal that has no effect, or against clients that wait, because the version came from another instance.
    sendData();
    SECTION("the peer's view is recent")
    {
        advanceClock(milliseconds(5000));
        pull(removed, milliseconds(100));
        CHECK(router.takeResets().size() == 1);
    }
    SECTION("the peer's view is as old as the flow")
    {
        advanceClock(milliseconds(5000));
        pull(removed, milliseconds(5000));
        CHECK(sendData().action == Action::Drop);
        CHECK(open(Endpoint(0x64400009, 1)).action == Action::Reset);
        CHECK(router.takeResets().empty());
        hear(removed, milliseconds(0));
        CHECK(router.takeResets().size() == 1);
    }
    CHECK(sendData().action == Action::Reset);
}

TEST_CASE_METHOD(MergerFixture, "an instance with another version proves no removal", "[stream][peerviewmerger][removedroute]")
{
    // Guards against resets for a confirmation that concerns another version than the one in force.
    pull(removed, milliseconds(0));
    CHECK(sendData().action == Action::Drop);
    advanceClock(milliseconds(5000));
    SECTION("an older one")
    {
        CHECK(hear(before, milliseconds(0)));
        CHECK(router.takeResets().empty());
        CHECK(sendData().action == Action::Drop);
    }
    SECTION("a newer one, which has the route again")
    {
        CHECK_FALSE(hear(restored, milliseconds(0))); // so that its state is pulled
        CHECK(router.takeResets().empty());
        pull(restored, milliseconds(0));
        CHECK(router.takeResets().empty());
        CHECK(sendData().action == Action::Forward);
    }
}

TEST_CASE_METHOD(MergerFixture, "a peer with an older version brings no removed route back", "[stream][peerviewmerger][removedroute]")
{
    // Guards against a route that serves again because an instance that was paused passes on what it knew before.
    pull(removed, milliseconds(0));
    CHECK(open().action == Action::Reset);
    pull(before, milliseconds(0));
    CHECK(open().action == Action::Reset);
    CHECK(router.configuration() == removed);
}
