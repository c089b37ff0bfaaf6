#include "membership/memberview.h"
#include "routing/flowkey.h"
#include "routing/router.h"
#include "routing/samplepools.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace std::chrono_literals;

namespace
{

const RoutedService &sampleService(const Router &router)
{
    return *router.services().service(SamplePools::serviceAddress());
}

std::uint64_t flowKeyOf(std::uint16_t port)
{
    return flowKey(Endpoint(0x7f000001, port), SamplePools::serviceAddress());
}

} // namespace

TEST_CASE("an instance's own observations of a server count more than reported states", "[routing][serverhealth]")
{
    // Guards against health endpoints that report late or wrong states.
    ManualClock clock;
    ServerHealth health;
    health.stateReported(0, false, clock.wallNow());
    CHECK_FALSE(health.isUp(0, clock.now()));
    health.recordResponse(0, clock.now());
    CHECK(health.isUp(0, clock.now()));
    clock.advance(ServerHealth::ownObservationAge);
    CHECK_FALSE(health.isUp(0, clock.now()));
    health.stateReported(0, true, clock.wallNow() - 1h); // older than the known state
    CHECK_FALSE(health.isUp(0, clock.now()));
    health.stateReported(0, true, clock.wallNow());
    CHECK(health.isUp(0, clock.now()));
    health.stateReported(0, false, clock.wallNow()); // later in the same millisecond
    CHECK_FALSE(health.isUp(0, clock.now()));
    health.stateReported(0, true, clock.wallNow());
    const auto fail = [&](TimePoint sentAt) {
        for (std::uint32_t failure = 0; failure < ServerHealth::failuresUntilDown; ++failure) {
            health.recordTimeout(0, sentAt, clock.now());
        }
    };
    health.recordResponse(0, clock.now());
    // Slow requests that time out while the server responds to others must not break its flows.
    fail(clock.now() - 2s);
    CHECK(health.isUp(0, clock.now()));
    clock.advance(2s);
    fail(clock.now() - 1s);
    CHECK_FALSE(health.isUp(0, clock.now()));
}

TEST_CASE("flows of a server that is down go to healthy servers and stay there", "[routing][router]")
{
    ManualClock clock;
    Router router({ "i1", 1000 }, nullptr);
    router.configurationChanged(SamplePools::generation(1, SamplePools::servers(6)), clock.now());
    const ServerIndex first = router.route(sampleService(router), flowKeyOf(1), clock.now(), 0).server;
    router.serverStateReported(router.servers().server(first).address, false, clock.wallNow());
    const ServerIndex second = router.route(sampleService(router), flowKeyOf(1), clock.now(), 0).server;
    CHECK(second != first);
    CHECK(router.counters().brokenFlows == 1);
    clock.advance(1s);
    router.serverStateReported(router.servers().server(first).address, true, clock.wallNow());
    CHECK(router.route(sampleService(router), flowKeyOf(1), clock.now(), 0).server == second);
    CHECK(router.counters().brokenFlows == 1);
}

TEST_CASE("flows of a drained server are placed on another server after the drain deadline", "[routing][router]")
{
    ManualClock clock;
    Router router({ "i1", 1000 }, nullptr);
    auto servers = SamplePools::servers(6);
    router.configurationChanged(SamplePools::generation(1, servers), clock.now());
    const ServerIndex first = router.route(sampleService(router), flowKeyOf(1), clock.now(), 0).server;
    servers[first].state = ServerState::Drain;
    router.configurationChanged(SamplePools::generation(2, servers), clock.now());
    CHECK(router.route(sampleService(router), flowKeyOf(1), clock.now(), 0).server == first);
    clock.advance(2h);
    CHECK(router.route(sampleService(router), flowKeyOf(1), clock.now(), 0).server != first);
}

TEST_CASE("lower generations are ignored, and new flows are refused without an active server", "[routing][router]")
{
    ManualClock clock;
    Router router({ "i1", 1000 }, nullptr);
    auto servers = SamplePools::servers(1);
    router.configurationChanged(SamplePools::generation(5, servers), clock.now());
    servers[0].state = ServerState::Drain;
    router.configurationChanged(SamplePools::generation(4, servers), clock.now());
    CHECK(router.heldGeneration() == 5);
    CHECK(router.route(sampleService(router), flowKeyOf(1), clock.now(), 0).action == RouteAction::Send);
    router.configurationChanged(SamplePools::generation(6, servers), clock.now());
    const RouteDecision refused = router.route(sampleService(router), flowKeyOf(2), clock.now(), 0);
    CHECK(refused.action == RouteAction::Refuse);
}

TEST_CASE("the placement of a moved bucket is unknown while all members of its failure domain are dead", "[routing][router]")
{
    // Guards against breaking a flow that an unreachable owner across a network partition knows, by treating it as new.
    ManualClock clock;
    Router router({ "i1", 1000 }, nullptr);
    auto servers = SamplePools::servers(2); // s00 in a, s01 in b
    router.configurationChanged(SamplePools::generation(1, servers), clock.now());
    router.memberViewChanged(std::make_shared<const MemberView>(std::vector<Member> { Member({ .id = "i1", .failureDomain = "a" }),
                                 Member({ .id = "i2", .failureDomain = "b", .state = MemberState::Dead }) }),
        clock.now());
    servers[1].state = ServerState::Drain;
    router.configurationChanged(SamplePools::generation(2, servers), clock.now());
    router.activate(2);
    std::size_t unknown = 0;
    for (std::uint16_t port = 1; port <= 1000; ++port) {
        unknown += router.route(sampleService(router), flowKeyOf(port), clock.now(), 0).reason == RefusalReason::PlacementUnknown ? 1 : 0;
    }
    CHECK(unknown > 400);
    CHECK(unknown < 600);
}
