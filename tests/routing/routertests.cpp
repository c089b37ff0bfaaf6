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

TEST_CASE("flow exceptions that arrive before the configuration with their service are kept", "[routing][router]")
{
    // Guards against moving established flows: an owner that had just started, or that had an older generation, acknowledged the exceptions
    // and dropped them, because it didn't know their service.
    ManualClock clock;
    Router router({ "i1", 1000 }, nullptr);
    const auto servers = SamplePools::servers(6);
    const std::uint64_t key = flowKeyOf(1);
    Router reference({ "i2", 1000 }, nullptr);
    reference.configurationChanged(SamplePools::generation(4, servers), clock.now());
    const Endpoint computed = reference.servers().server(reference.route(sampleService(reference), key, clock.now(), 0).server).address;
    const Endpoint holder = servers[computed == servers[0].address ? 1 : 0].address;
    const auto serverOf = [&] { return router.servers().server(router.route(sampleService(router), key, clock.now(), 0).server).address; };
    router.flowExceptionsReceived({ 1, "svc", 4, holder, "a", { key } }, clock.now());
    SECTION("the generation of the sender follows")
    {
        router.configurationChanged(SamplePools::generation(4, servers), clock.now());
        CHECK(serverOf() == holder);
    }
    SECTION("an earlier generation without the service comes first")
    {
        router.configurationChanged({ { 3, {} }, std::make_shared<const ConfigSet>(ConfigSet::Fields()) }, clock.now());
        router.configurationChanged(SamplePools::generation(4, servers), clock.now());
        CHECK(serverOf() == holder);
    }
    SECTION("the service was removed in the generation of this instance")
    {
        router.configurationChanged({ { 5, {} }, std::make_shared<const ConfigSet>(ConfigSet::Fields()) }, clock.now());
        router.flowExceptionsReceived({ 2, "svc", 4, holder, "a", { key } }, clock.now());
        CHECK(router.exceptionCount() == 0);
        router.configurationChanged(SamplePools::generation(6, servers), clock.now());
        CHECK(serverOf() == computed);
    }
}

TEST_CASE("the memory for flow exceptions of unknown services is bounded", "[routing][router]")
{
    ManualClock clock;
    Router router({ "i1", 1000 }, nullptr);
    for (std::uint64_t sequence = 0; sequence < Router::maxEarlyUpdates + 5; ++sequence) {
        router.flowExceptionsReceived({ sequence, "svc", 4, Endpoint(0x7f001400, 9000), "a", { 1, 2 } }, clock.now());
    }
    CHECK(router.counters().exceptionsLost == 10);
}
