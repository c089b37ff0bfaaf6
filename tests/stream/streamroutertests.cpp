#include "loadreport/loadreporter.h"
#include "loadreport/loadreports.h"
#include "stream/routerfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;
using Action = StreamDecision::Action;

TEST_CASE_METHOD(RouterFixture, "an instance without a configuration drops packets and resets nothing", "[stream][router]")
{
    // Guards against a restarted instance that resets open flows because it has not read the routes yet.
    router.replaceServers({ server(1) }, {}, { 0, 10 }, clock.now());
    CHECK(send(ServerDirectory::tokenOf(RouterFixture::server(1)), 101, 900, 7).action == Action::Drop);
    CHECK(open().action == Action::Drop);
    CHECK(router.takeResets().empty());
    router.applyConfiguration(configuration(4));
    CHECK(send(ServerDirectory::tokenOf(RouterFixture::server(1)), 101, 900, 7).action == Action::Forward);
}

TEST_CASE_METHOD(RouterFixture, "an instance without a list of servers drops packets and resets nothing", "[stream][router]")
{
    router.applyConfiguration(configuration(4));
    CHECK(open().action == Action::Drop);
    CHECK(send(ServerDirectory::tokenOf(RouterFixture::server(1)), 101, 900, 7).action == Action::Drop);
    CHECK_FALSE(router.isReady());
}

TEST_CASE_METHOD(RouterFixture, "an opening packet is sent to a server with its token", "[stream][router]")
{
    makeReady({ server(1) });
    const StreamDecision decision = open();
    CHECK(decision.action == Action::Forward);
    CHECK(decision.outcome == StreamOutcome::Placed);
    CHECK(decision.token == ServerDirectory::tokenOf(RouterFixture::server(1)));
    REQUIRE(decision.server != nullptr);
    CHECK(decision.server->number == 1);
    CHECK(events.last("flow_placed").find("server=i-1") != std::string::npos);
}

TEST_CASE_METHOD(RouterFixture, "the token identifies the server of a flow that this instance has never seen", "[stream][router]")
{
    // When an instance joins or leaves, the fabric moves nearly all flows to other instances.
    makeReady({ server(1), server(2), server(3) });
    for (const std::uint64_t number : { 1, 2, 3 }) {
        const StreamDecision decision = send(ServerDirectory::tokenOf(RouterFixture::server(number)), 500, 900, 7);
        CHECK(decision.action == Action::Forward);
        REQUIRE(decision.server != nullptr);
        CHECK(decision.server->number == number);
    }
}

TEST_CASE_METHOD(RouterFixture, "packets whose token names no known server are dropped", "[stream][router]")
{
    // A reset could break an open flow whose server is unknown only to this instance.
    makeReady({ server(1) });
    const StreamDecision decision = send(ServerDirectory::tokenOf(RouterFixture::server(9)), 500, 900, 7);
    CHECK(decision.action == Action::Drop);
    CHECK(decision.outcome == StreamOutcome::UnknownToken);
}

TEST_CASE_METHOD(RouterFixture, "packets to an address without a route cause a reset", "[stream][router]")
{
    makeReady({ server(1) });
    const StreamDecision decision = router.route({ .client = client, .service = unroutedService, .opens = true });
    CHECK(decision.action == Action::Reset);
    CHECK(decision.outcome == StreamOutcome::NoRoute);
    const StreamDecision reset = router.route({ .client = client, .service = unroutedService, .resets = true });
    CHECK(reset.action == Action::Drop);
}

TEST_CASE_METHOD(RouterFixture, "an opening packet causes a reset if no server can take the flow", "[stream][router]")
{
    StreamServer draining = server(1);
    draining.phase = ServerPhase::Draining;
    makeReady({ draining });
    const StreamDecision decision = open();
    CHECK(decision.action == Action::Reset);
    CHECK(decision.outcome == StreamOutcome::NoServer);
}

TEST_CASE_METHOD(RouterFixture, "a retransmitted opening packet goes to another server, and the first one is suspected", "[stream][router]")
{
    makeReady({ server(1), server(2) });
    const std::uint32_t first = open().token;
    advanceClock(milliseconds(200));
    const StreamDecision copy = open(client, 1);
    CHECK(copy.outcome == StreamOutcome::PlacedAgain);
    CHECK(copy.token != first);
    CHECK(router.failureDetector().status(first, clock.now()) == ServerStatus::Suspected);
    const std::vector<ProbeTarget> probes = router.takeDueProbes();
    REQUIRE(probes.size() == 2); // the suspected server and a trusted one
    CHECK(probes.front().token == first);
}

TEST_CASE_METHOD(RouterFixture, "a client that opens another flow before its last one has opened gets another server", "[stream][router]")
{
    // If a server crashes but its host still runs, the host resets each new flow at once, directly to the client. Without this rule the
    // crashed server, which has the fewest flows, would get all attempts of the client.
    makeReady({ server(1), server(2) });
    const std::uint32_t first = open(Endpoint(0x64400007, 1)).token;
    advanceClock(milliseconds(7));
    CHECK(open(Endpoint(0x64400007, 2)).token != first);
    const std::vector<ProbeTarget> probes = router.takeDueProbes();
    REQUIRE(probes.size() == 1);
    CHECK(probes.front().token == first);
    CHECK(router.failureDetector().status(first, clock.now()) == ServerStatus::Trusted);
}

TEST_CASE_METHOD(RouterFixture, "a client that opens several flows in a row causes no probes", "[stream][router]")
{
    makeReady({ server(1), server(2) });
    const std::uint32_t first = open(Endpoint(0x64400007, 1)).token;
    advanceClock(milliseconds(7));
    send(first, 101, 0, 1, Endpoint(0x64400007, 1));
    const std::uint32_t second = open(Endpoint(0x64400007, 2)).token;
    advanceClock(milliseconds(1));
    open(Endpoint(0x64400007, 3));
    advanceClock(milliseconds(1500));
    open(Endpoint(0x64400007, 4));
    CHECK(router.takeDueProbes().empty());
    CHECK(second != first);
}

TEST_CASE_METHOD(RouterFixture, "a late copy of the opening packet doesn't move an open flow", "[stream][router]")
{
    makeReady({ server(1), server(2) });
    const std::uint32_t first = open().token;
    send(first, 101, 0, 1);
    advanceClock(milliseconds(200));
    CHECK(open(client, 1).token == first);
    CHECK(router.failureDetector().status(first, clock.now()) == ServerStatus::Trusted);
}

TEST_CASE_METHOD(RouterFixture, "a delayed copy of the opening packet goes to the server of its flow", "[stream][router]")
{
    // Guards against a second server that takes the flow, also while the flow's own server drains.
    makeReady({ server(1), server(2) });
    const std::uint32_t token = ServerDirectory::tokenOf(server(1));
    StreamServer other = server(2);
    other.phase = ServerPhase::Draining;
    other.position = { 0, 11 };
    router.updateServer(other); // so that the flow is placed on the first server
    const bool isOpeningSeen = GENERATE(true, false);
    const bool isDraining = GENERATE(true, false);
    if (isOpeningSeen) {
        REQUIRE(open().token == token);
    }
    send(token, 101, 900, 55);
    if (isDraining) {
        StreamServer draining = server(1);
        draining.phase = ServerPhase::Draining;
        draining.position = { 0, 12 };
        router.updateServer(draining);
    }
    advanceClock(milliseconds(1500));
    CHECK(open(client, 1).token == token);
    CHECK(router.failureDetector().status(token, clock.now()) == ServerStatus::Trusted);
}

TEST_CASE_METHOD(RouterFixture, "a client that uses the port of a closed flow again gets no server that drains", "[stream][router]")
{
    // Guards against new flows on a draining server for as long as clients use the same ports again within the idle timeout.
    makeReady({ server(1), server(2) });
    const std::uint32_t token = open().token;
    const StreamServer placed = token == ServerDirectory::tokenOf(server(1)) ? server(1) : server(2);
    send(token, 101, 900, 55);
    advanceClock(milliseconds(40));
    send(token, 1001, 0, 655);
    const auto drain = [&] {
        StreamServer draining = placed;
        draining.phase = ServerPhase::Draining;
        draining.position = { 0, 12 };
        router.updateServer(draining);
    };
    SECTION("its last packets went through this instance")
    {
        finish(token, 1001, 656);
        drain();
        advanceClock(milliseconds(8000));
    }
    SECTION("its last packets went through another instance")
    {
        drain();
        advanceClock(milliseconds(8000));
    }
    SECTION("it closed a moment ago")
    {
        finish(token, 1001, 656);
        drain();
        advanceClock(milliseconds(100));
    }
    std::uint32_t sequence = 3'000'000'000;
    for (int flow = 0; flow < 4; ++flow) {
        const StreamDecision next = open(client, 0, sequence);
        CHECK(next.outcome == StreamOutcome::Placed);
        CHECK(next.token != token);
        CHECK(send(next.token, sequence + 1, 900, 9'000'000).token == next.token);
        CHECK(router.flows().find(client, service)->openSince == clock.now());
        CHECK_FALSE(router.flows().find(client, service)->finished);
        finish(next.token, sequence + 901, 9'000'600);
        sequence += 1'000'000;
        advanceClock(milliseconds(8000));
    }
}

TEST_CASE_METHOD(
    RouterFixture, "a client that uses a port again whose last flow another instance opened gets no server that drains", "[stream][router]")
{
    // Guards against the same fault where this instance doesn't know the number of the opening packet.
    makeReady({ server(1), server(2) });
    const std::uint32_t token = ServerDirectory::tokenOf(server(1));
    send(token, 101, 900, 55);
    StreamServer draining = server(1);
    draining.phase = ServerPhase::Draining;
    draining.position = { 0, 12 };
    router.updateServer(draining);
    SECTION("the client has closed the flow")
    {
        finish(token, 1001, 655);
        CHECK(open(client, 0, 90).token == ServerDirectory::tokenOf(server(2)));
    }
    SECTION("the opening packet can't be one of the flow")
    {
        CHECK(open(client, 0, 5000).token == ServerDirectory::tokenOf(server(2)));
    }
    SECTION("the opening packet comes too late to be a copy")
    {
        advanceClock(milliseconds(2100));
        CHECK(open(client, 0, 90).token == ServerDirectory::tokenOf(server(2)));
    }
}

TEST_CASE_METHOD(RouterFixture, "the end of a server or of a route resets no flow that is closed", "[stream][router]")
{
    // Guards against resets that reach the next flow from the same port, which another instance has sent to a server that runs.
    makeReady({ server(1) });
    const std::uint32_t token = open().token;
    send(token, 101, 900, 55);
    finish(token, 1001, 655);
    const Endpoint other(0x64400009, 1);
    open(other);
    send(token, 101, 900, 55, other);
    advanceClock(milliseconds(8000));
    SECTION("the server ends")
    {
        finishProbe(token, ConnectResult::Refused);
    }
    SECTION("the route is removed")
    {
        router.confirmConfiguration({ 0, 5 }, clock.now());
        StreamConfiguration next = configuration(6);
        next.routes.clear();
        router.applyConfiguration(next);
    }
    const std::vector<StreamReset> resets = router.takeResets();
    REQUIRE(resets.size() == 1);
    CHECK(resets.front().client == other);
}

TEST_CASE_METHOD(
    RouterFixture, "the failure of a server resets no flow that was opened later from the port of a closed one", "[stream][router]")
{
    // Guards against resets of a flow that another instance has opened at a server that responds again, for the age of the closed flow.
    makeReady({ server(1), server(2) });
    const std::uint32_t token = ServerDirectory::tokenOf(server(1));
    const std::uint32_t other = ServerDirectory::tokenOf(server(2));
    StreamConfiguration repeatable = configuration(6);
    repeatable.routes.at(service).idempotent = true;
    router.applyConfiguration(repeatable);
    send(token, 101, 900, 55);
    finish(token, 1001, 655);
    advanceClock(milliseconds(8000));
    // The server turns silent: a client repeats its request, and probes time out while another server answers.
    const Endpoint waiting(0x64400009, 1);
    send(token, 101, 0, 55, waiting);
    send(token, 101, 900, 55, waiting);
    advanceClock(milliseconds(200));
    send(token, 101, 900, 55, waiting);
    timeOutProbe(token, other);
    timeOutProbe(token, other);
    REQUIRE(router.failureDetector().status(token, clock.now()) == ServerStatus::Silent);
    router.takeResets();
    CHECK(send(token, 70'000'000, 900, 90'000'000).action == Action::Forward);
    CHECK(events.count("flow_server_changed") == 0);
}

TEST_CASE_METHOD(RouterFixture, "a client that uses a port again gets no server that has ended", "[stream][router]")
{
    // Guards against opening packets that reach a crashed server for as long as the closed flow is remembered.
    makeReady({ server(1), server(2) });
    const std::uint32_t token = open().token;
    send(token, 101, 900, 55);
    finish(token, 1001, 655);
    advanceClock(milliseconds(8000));
    finishProbe(token, ConnectResult::Refused);
    CHECK(open(client, 0, 70'000'000).token != token);
}

TEST_CASE_METHOD(RouterFixture, "a client that opens another flow from the same port before its last one has opened gets another server",
    "[stream][router]")
{
    // The host of a crashed server resets the client directly, and the client may open its next flow from the same port at once.
    makeReady({ server(1), server(2) });
    const std::uint32_t token = open().token;
    advanceClock(milliseconds(40));
    const StreamDecision next = open(client, 0, 70'000'000);
    CHECK(next.outcome == StreamOutcome::Placed);
    CHECK(next.token != token);
    REQUIRE(router.takeDueProbes().size() == 1);
    // A flow that was given up long ago says nothing about its server.
    advanceClock(milliseconds(9000));
    CHECK(open(client, 0, 90'000'000).outcome == StreamOutcome::Placed);
    CHECK(router.failureDetector().status(next.token, clock.now()) == ServerStatus::Trusted);
}

TEST_CASE_METHOD(RouterFixture, "a draining server keeps its flows and gets no new ones", "[stream][router]")
{
    makeReady({ server(1), server(2) });
    StreamServer draining = server(1);
    draining.phase = ServerPhase::Draining;
    draining.position = { 0, 11 };
    router.updateServer(draining);
    CHECK(send(ServerDirectory::tokenOf(RouterFixture::server(1)), 500, 900, 7).action == Action::Forward);
    for (std::uint16_t port = 1; port < 20; ++port) {
        CHECK(open(Endpoint(0x64400009, port)).token == ServerDirectory::tokenOf(RouterFixture::server(2)));
    }
}

TEST_CASE_METHOD(RouterFixture, "a route without targets refuses new flows at once and keeps its open ones", "[stream][router][odd]")
{
    // The route is in the configuration, but no target of it can be read.
    makeReady({ server(1) });
    const std::uint32_t token = open().token;
    CHECK(send(token, 101, 900, 7).action == Action::Forward);
    const Endpoint waiting(0x64400009, 1);
    open(waiting);
    StreamConfiguration unreadable = configuration(5);
    unreadable.routes.begin()->second.targets.clear();
    REQUIRE(router.applyConfiguration(unreadable));
    CHECK(router.takeResets().empty());
    CHECK(send(token, 1001, 900, 7).action == Action::Forward);
    CHECK(open(Endpoint(0x64400009, 2)).action == Action::Reset);
    advanceClock(std::chrono::milliseconds(200));
    CHECK(open(waiting, 1).action == Action::Reset);
}

TEST_CASE_METHOD(RouterFixture, "all open flows of a server that refuses connections are reset, including idle ones", "[stream][router]")
{
    // Clients of idle flows learn of a crash before they send their next request.
    makeReady({ server(1) });
    const Endpoint idle(0x64400008, 40002);
    const std::uint32_t token = open(idle).token;
    send(token, 101, 0, 77, idle);
    open();
    send(token, 101, 900, 55);
    advanceClock(milliseconds(200));
    send(token, 101, 900, 55);
    REQUIRE(router.takeDueProbes().size() == 1);
    finishProbe(token, ConnectResult::Refused);
    CHECK(events.last("server_standing").find("standing=gone evidence=connection_refused") != std::string::npos);
    const std::vector<StreamReset> resets = router.takeResets();
    REQUIRE(resets.size() == 2);
    for (const StreamReset &reset : resets) {
        CHECK(reset.service == service);
        CHECK(reset.sequence == (reset.client == idle ? 77 : 55));
    }
    const StreamDecision later = send(token, 101, 900, 55);
    CHECK(later.action == Action::Reset);
    CHECK(later.outcome == StreamOutcome::ServerGone);
    CHECK(open(Endpoint(0x64400009, 1)).outcome == StreamOutcome::NoServer);
}

TEST_CASE_METHOD(
    RouterFixture, "a flow that is first seen after a refused connection is reset only by the next refusal", "[stream][router]")
{
    // Regression test (soak seeds 119, 125 and 1796373575): the server had restarted with the same id, and an instance that knew of neither
    // its end nor its restart opened flows with the token of the earlier incarnation.
    makeReady({ server(1) });
    const std::uint32_t token = ServerDirectory::tokenOf(server(1));
    const Endpoint early(0x64400008, 1);
    const Endpoint late(0x64400008, 2);
    send(token, 101, 900, 55, early);
    finishProbe(token, ConnectResult::Refused);
    CHECK(router.takeResets().size() == 1);
    CHECK(send(token, 101, 900, 55, early).outcome == StreamOutcome::ServerGone);
    CHECK(send(token, 101, 900, 55, late).action == Action::Forward);
    CHECK(router.takeResets().empty());
    advanceClock(milliseconds(150));
    const std::vector<ProbeTarget> probes = router.takeDueProbes();
    REQUIRE(probes.size() == 1);
    SECTION("the next incarnation accepts a connection and keeps its flow")
    {
        finishProbe(token, ConnectResult::Accepted);
        CHECK(router.takeResets().empty());
        CHECK(send(token, 101, 900, 55, late).action == Action::Forward);
    }
    SECTION("a refusal proves that the incarnation that opened the flow has ended")
    {
        finishProbe(token, ConnectResult::Refused);
        REQUIRE(router.takeResets().size() == 1);
        CHECK(send(token, 101, 900, 55, late).outcome == StreamOutcome::ServerGone);
    }
    SECTION("the refusal of a connection that started before the flow was seen proves nothing")
    {
        router.recordProbeResult(token, ConnectResult::Refused, clock.now() - milliseconds(151));
        CHECK(router.takeResets().empty());
        CHECK(send(token, 101, 900, 55, late).action == Action::Forward);
    }
}

TEST_CASE_METHOD(RouterFixture, "a client that opens a flow from the port of a reset one gets another server", "[stream][router]")
{
    makeReady({ server(1), server(2) });
    const std::uint32_t token = open().token;
    send(token, 101, 0, 55);
    finishProbe(token, ConnectResult::Refused);
    REQUIRE(router.takeResets().size() == 1);
    const StreamDecision again = open();
    CHECK(again.outcome == StreamOutcome::Placed);
    CHECK(again.token != token);
    CHECK(send(again.token, 101, 900, 55).action == Action::Forward);
}

TEST_CASE_METHOD(RouterFixture, "an overdue response causes a probe connection and no suspicion", "[stream][router]")
{
    makeReady({ server(1) });
    const std::uint32_t token = open().token;
    send(token, 101, 900, 55);
    advanceClock(milliseconds(50));
    router.tick();
    CHECK(router.takeDueProbes().empty());
    advanceClock(milliseconds(50));
    router.tick();
    CHECK(router.takeDueProbes().size() == 1);
    CHECK(router.failureDetector().status(token, clock.now()) == ServerStatus::Trusted);
    finishProbe(token, ConnectResult::Accepted);
    CHECK(router.takeResets().empty());
}

TEST_CASE_METHOD(RouterFixture, "an unreachable server keeps its open flows", "[stream][router]")
{
    // The server may still run although the network to it is down, and flows of a running server must not be reset.
    makeReady({ server(1), server(2) });
    const std::uint32_t token = open().token;
    send(token, 101, 900, 55);
    finishProbe(token, ConnectResult::Unanswered);
    CHECK(router.takeResets().empty());
    CHECK(send(token, 101, 900, 55).action == Action::Forward);
    CHECK(open(Endpoint(0x64400009, 1)).token != token);
}

TEST_CASE_METHOD(
    RouterFixture, "flows of a silent server are reset, except those with pending requests that must not be retried", "[stream][router]")
{
    // A server may hang or be cut off. It may still send the response of a pending request directly to the client, and a request that may
    // run only once has to wait for that. All other requests should be retried elsewhere.
    makeReady({ server(1), server(2) });
    StreamConfiguration both = configuration(6);
    both.routes.at(service).idempotent = true;
    both.routes.emplace(unsafeService, StreamRoute { "r-2", unsafeService, { { "pond", 1 } } });
    router.applyConfiguration(both);
    const std::uint32_t token = ServerDirectory::tokenOf(RouterFixture::server(1));
    const std::uint32_t other = ServerDirectory::tokenOf(RouterFixture::server(2));
    const auto sendTo = [&](Endpoint to, std::uint16_t port, std::uint16_t length) {
        return router.route({ .client = Endpoint(0x64400009, port), .service = to, .token = token, .length = length, .sequence = 100 });
    };
    sendTo(service, 1, 900);
    sendTo(service, 2, 0);
    sendTo(unsafeService, 3, 900);
    sendTo(unsafeService, 4, 0);
    advanceClock(milliseconds(200));
    sendTo(unsafeService, 3, 900);
    timeOutProbe(token, other);
    CHECK(router.takeResets().empty());
    timeOutProbe(token, other);
    std::set<std::uint16_t> ports;
    for (const StreamReset &reset : router.takeResets()) {
        ports.insert(reset.client.port());
    }
    CHECK(ports == std::set<std::uint16_t> { 1, 2, 4 });
    CHECK(sendTo(service, 1, 900).outcome == StreamOutcome::ServerSilent);
    CHECK(sendTo(service, 2, 0).action == Action::Forward);
    // A flow that is first seen now may have been opened after the server has recovered.
    CHECK(sendTo(service, 5, 900).action == Action::Forward);
    timeOutProbe(token, other);
    CHECK(router.takeResets().size() == 1);
    CHECK(sendTo(service, 5, 900).outcome == StreamOutcome::ServerSilent);
    CHECK(sendTo(service, 5, 0).action == Action::Forward);
    CHECK(sendTo(unsafeService, 3, 900).action == Action::Forward);
    finishProbe(token, ConnectResult::Accepted);
    CHECK(sendTo(service, 6, 900).action == Action::Forward);
}

TEST_CASE_METHOD(RouterFixture, "an instance whose probes all time out keeps the open flows of its servers", "[stream][router]")
{
    // Guards against resets of open flows of running servers when the instance's own link is busy, for example with a large configuration.
    makeReady({ server(1), server(2), server(3) });
    StreamConfiguration repeatable = configuration(6);
    repeatable.routes.at(service).idempotent = true;
    router.applyConfiguration(repeatable);
    for (std::uint64_t number = 1; number <= 3; ++number) {
        send(ServerDirectory::tokenOf(server(number)), 101, 900, 55, Endpoint(0x64400008, static_cast<std::uint16_t>(number)));
    }
    for (int step = 0; step < 10; ++step) {
        advanceClock(milliseconds(200));
        for (std::uint64_t number = 1; number <= 3; ++number) {
            const Endpoint from(0x64400008, static_cast<std::uint16_t>(number));
            CHECK(send(ServerDirectory::tokenOf(server(number)), 101, 900, 55, from).action == Action::Forward);
        }
        router.tick();
        const TimePoint probeStart = clock.now();
        const std::vector<ProbeTarget> targets = router.takeDueProbes();
        advanceClock(milliseconds(120));
        for (const ProbeTarget &target : targets) {
            router.recordProbeResult(target.token, ConnectResult::Unanswered, probeStart);
        }
        CHECK(router.takeResets().empty());
    }
    CHECK(events.last("server_standing").find("standing=unreachable") != std::string::npos);
}

TEST_CASE_METHOD(RouterFixture, "a suspected server is probed together with a trusted one", "[stream][router]")
{
    // Without a probe that another server answers at the same time, a server that was lost with its machine would never turn silent.
    makeReady({ server(1), server(2) });
    StreamConfiguration repeatable = configuration(6);
    repeatable.routes.at(service).idempotent = true;
    router.applyConfiguration(repeatable);
    const std::uint32_t token = ServerDirectory::tokenOf(server(1));
    send(token, 101, 900, 55);
    std::size_t resets = 0;
    for (int step = 0; step < 3; ++step) {
        advanceClock(milliseconds(200));
        send(token, 101, 900, 55);
        const TimePoint probeStart = clock.now();
        const std::vector<ProbeTarget> targets = router.takeDueProbes();
        REQUIRE(targets.size() == 2);
        CHECK(targets[0].token == token);
        router.recordProbeResult(targets[1].token, ConnectResult::Accepted, probeStart);
        advanceClock(milliseconds(120));
        router.recordProbeResult(targets[0].token, ConnectResult::Unanswered, probeStart);
        resets += router.takeResets().size();
        if (resets > 0) {
            break;
        }
    }
    CHECK(resets == 1);
}

TEST_CASE_METHOD(RouterFixture, "a trusted server is not probed again for each suspected one", "[stream][router]")
{
    // Guards against resets of its open flows: two probes at the same time would count one short loss as two timeouts.
    makeReady({ server(1), server(2, "b"), server(3) });
    const auto sendTo = [this](std::uint64_t number) {
        send(ServerDirectory::tokenOf(server(number)), 101, 900, 55, Endpoint(0x64400008, static_cast<std::uint16_t>(number)));
    };
    sendTo(1);
    sendTo(2);
    advanceClock(milliseconds(160));
    sendTo(1);
    const std::vector<ProbeTarget> first = router.takeDueProbes();
    REQUIRE(first.size() == 2);
    CHECK(first.back().id == "i-3"); // of the own failure domain
    advanceClock(milliseconds(25));
    sendTo(2);
    const std::vector<ProbeTarget> second = router.takeDueProbes();
    REQUIRE(second.size() == 1);
    CHECK(second.front().id == "i-2");
}

TEST_CASE_METHOD(RouterFixture, "a trusted server is probed however many servers are suspected", "[stream][router]")
{
    // Guards against servers that never turn silent: after the loss of a failure domain more probes are due than may run at once.
    std::vector<StreamServer> servers;
    for (std::uint64_t number = 1; number <= 21; ++number) {
        servers.push_back(server(number));
    }
    servers.back().service = "tile"; // the only trusted server belongs to another service
    makeReady(servers);
    router.applyConfiguration(configurationWith(6, "tile"));
    const auto sendToAll = [&] {
        for (std::uint16_t index = 0; index < 20; ++index) {
            send(ServerDirectory::tokenOf(servers[index]), 101, 900, 55, Endpoint(0x64400008, index));
        }
    };
    sendToAll();
    advanceClock(milliseconds(200));
    sendToAll();
    const std::vector<ProbeTarget> targets = router.takeDueProbes(8);
    REQUIRE(targets.size() == 8);
    CHECK(targets.back().id == "i-15");
}

TEST_CASE_METHOD(RouterFixture, "what arrived between two stalls may have waited since the first one", "[stream][router]")
{
    // Guards against old messages that count as new: after the first stall there was no time to process them.
    router.tick();
    const TimePoint start = clock.now();
    advanceClock(milliseconds(2000));
    router.tick();
    CHECK(router.earliestArrival(start) == start);
    advanceClock(milliseconds(2000));
    router.tick();
    CHECK(router.earliestArrival(start) == start);
    advanceClock(milliseconds(25));
    router.tick();
    CHECK(router.earliestArrival(clock.now() - milliseconds(10)) == clock.now());
}

TEST_CASE_METHOD(RouterFixture, "a draining server is not probed", "[stream][router]")
{
    StreamServer draining = server(1);
    draining.phase = ServerPhase::Draining;
    makeReady({ draining });
    send(ServerDirectory::tokenOf(RouterFixture::server(1)), 101, 900, 55);
    advanceClock(milliseconds(500));
    send(ServerDirectory::tokenOf(RouterFixture::server(1)), 101, 900, 55);
    router.tick();
    CHECK(router.takeDueProbes().empty());
}

TEST_CASE_METHOD(RouterFixture, "timeouts from before a server drained don't make it silent later", "[stream][router]")
{
    // Guards against resets of idle flows: a draining server isn't probed, so that no answer ends its timeouts.
    makeReady({ server(1), server(2) });
    const std::uint32_t token = ServerDirectory::tokenOf(server(1));
    send(token, 101, 0, 77, Endpoint(0x64400008, 40002));
    timeOutProbe(token, ServerDirectory::tokenOf(server(2)));
    timeOutProbe(token, ServerDirectory::tokenOf(server(2)));
    REQUIRE(router.takeResets().empty());
    StreamServer draining = server(1);
    draining.phase = ServerPhase::Draining;
    draining.position = { 0, 11 };
    router.updateServer(draining);
    advanceClock(milliseconds(8000));
    send(token, 101, 900, 55);
    advanceClock(milliseconds(200));
    send(token, 101, 900, 55);
    CHECK(router.takeResets().empty());
    CHECK(router.failureDetector().status(token, clock.now()) != ServerStatus::Silent);
}

TEST_CASE_METHOD(RouterFixture, "flows of a server whose address belongs to another server are reset", "[stream][router]")
{
    // The server's own entry, or the connection that it refused, and that of the next server at its address prove the end together.
    makeReady({ server(1) });
    router.applyConfiguration(configurationWith(6, "tile"));
    advanceClock(milliseconds(2600));
    router.confirmServers(clock.now());
    const std::uint32_t token = open().token;
    send(token, 101, 0, 55);
    StreamServer successor = server(2);
    successor.service = "tile";
    successor.address = server(1).address;
    successor.startedAt = 9000;
    successor.position = { 0, 12 };
    const EndedServer report { "i-1", 1000 };
    SECTION("its entry is removed after the other server has registered")
    {
        router.updateServer(successor);
        CHECK(router.takeResets().empty());
        router.removeServer("i-1", { 0, 13 });
    }
    SECTION("another instance reports its end after the other server has registered")
    {
        router.updateServer(successor);
        CHECK(router.takeResets().empty());
        router.handleEndedServer(report);
    }
    SECTION("another instance reports its end before the other server registers")
    {
        router.handleEndedServer(report);
        CHECK(router.takeResets().empty());
        router.updateServer(successor);
    }
    CHECK(router.takeResets().size() == 1);
    CHECK(send(token, 101, 900, 55).action == Action::Reset);
    CHECK(router.directory().listed("pond").empty());
}

TEST_CASE_METHOD(RouterFixture, "another server's entry at the address of a running server ends none of its flows", "[stream][router][odd]")
{
    // Guards against resets of open flows because another writer has left an entry with the address of a running server.
    makeReady({ server(1), server(3) });
    const std::uint32_t token = ServerDirectory::tokenOf(server(1));
    send(token, 101, 0, 55);
    StreamServer claimant = server(2);
    claimant.address = server(1).address;
    claimant.startedAt = 9000;
    claimant.position = { 0, 12 };
    router.updateServer(claimant);
    const auto status = [&] { return router.failureDetector().status(token, clock.now()); };
    const auto advanceConfirmed = [this](int seconds) {
        for (int second = 0; second < seconds; ++second) {
            advanceClock(milliseconds(1000));
            router.confirmServers(clock.now());
            router.tick();
        }
    };
    CHECK(status() == ServerStatus::Suspected);
    CHECK(events.last("server_standing").find("evidence=address_claimed") != std::string::npos);
    SECTION("it responds")
    {
        send(token, 101, 900, 55);
        advanceClock(milliseconds(40));
        send(token, 1001, 0, 655);
        CHECK(status() == ServerStatus::Trusted);
        router.handleEndedServer({ "i-1", 1000 }); // from an instance that has mistaken something else for its end
        finishProbe(token, ConnectResult::Accepted);
    }
    SECTION("it writes its entry again")
    {
        StreamServer again = server(1);
        again.slots = 3;
        again.position = { 0, 13 };
        router.updateServer(again);
        CHECK(status() == ServerStatus::Trusted);
    }
    SECTION("it has no requests, and its entry is still listed when that of an ended server would have been removed")
    {
        advanceConfirmed(7);
        CHECK(status() == ServerStatus::Trusted);
    }
    SECTION("its entry expires while the store is away, and returns")
    {
        advanceClock(milliseconds(9000));
        router.removeServer("i-1", { 0, 13 });
        router.confirmServers(clock.now());
        advanceConfirmed(2);
        StreamServer back = server(1);
        back.position = { 0, 15 };
        router.updateServer(back);
        advanceConfirmed(4);
        CHECK(status() == ServerStatus::Trusted);
    }
    CHECK(router.takeResets().empty());
    CHECK(send(token, 1001, 900, 655).action == Action::Forward);
    CHECK(router.directory().findId("i-1")->listed);
}

TEST_CASE_METHOD(RouterFixture, "an entry of a service that no configuration names ends no server at its address", "[stream][router][odd]")
{
    // Guards against resets of all open flows of a running server because a second program on its machine has registered itself.
    makeReady({ server(1) });
    const std::uint32_t token = open().token;
    send(token, 101, 0, 55);
    StreamServer agent = server(2);
    agent.service = "agent";
    agent.address = server(1).address;
    agent.startedAt = 9000;
    agent.position = { 0, 12 };
    SECTION("in a change")
    {
        router.updateServer(agent);
    }
    SECTION("in a complete list")
    {
        router.replaceServers({ server(1), agent }, {}, { 0, 12 }, clock.now());
    }
    CHECK(router.takeResets().empty());
    CHECK(send(token, 101, 900, 55).action == Action::Forward);
    CHECK(open(Endpoint(0x64400009, 1)).token == token);
    CHECK(router.failureDetector().status(token, clock.now()) == ServerStatus::Trusted);
}

TEST_CASE_METHOD(RouterFixture, "the removal of a copied entry ends no flow of the server that it describes", "[stream][router][odd]")
{
    // Guards against resets of a running server's flows because a tool has copied its entry and removed the copy.
    StreamServer copy = server(1);
    copy.id = "copy-of-i-1";
    copy.position = { 0, 8 };
    SECTION("of a service that no configuration names")
    {
        copy.service = "archive";
    }
    SECTION("of the same service")
    {
    }
    makeReady({ server(1), copy });
    constexpr std::uint16_t flowCount = 20;
    std::vector<std::uint32_t> tokens;
    const auto from = [](std::size_t flow) { return Endpoint(0x64400009, static_cast<std::uint16_t>(flow)); };
    for (std::size_t flow = 0; flow < flowCount; ++flow) {
        tokens.push_back(open(from(flow)).token);
        send(tokens.back(), 101, 0, 55, from(flow));
    }
    const auto advanceConfirmed = [this](int seconds) {
        for (int second = 0; second < seconds; ++second) {
            advanceClock(milliseconds(1000));
            router.confirmServers(clock.now());
            router.tick();
        }
    };
    advanceConfirmed(4);
    router.removeServer(copy.id, { 0, 12 });
    advanceConfirmed(8);
    CHECK(router.takeResets().empty());
    for (std::size_t flow = 0; flow < flowCount; ++flow) {
        const StreamDecision decision = send(tokens[flow], 101, 900, 55, from(flow));
        REQUIRE(decision.action == Action::Forward);
        CHECK(decision.server->address == server(1).address);
    }
    CHECK(open(from(flowCount)).server->id == "i-1");
    // The removal of the server's own entry is evidence about the server.
    router.removeServer("i-1", { 0, 20 });
    advanceConfirmed(5);
    CHECK(router.takeResets().size() == flowCount);
}

TEST_CASE_METHOD(RouterFixture, "the removal of an outdated copy ends no flow of the server that started again", "[stream][router][odd]")
{
    // Guards against resets of flows that reached the server through the copy before the new entry of the server was known.
    StreamServer copy = server(1);
    copy.id = "copy-of-i-1";
    copy.position = { 0, 8 };
    makeReady({ copy });
    const std::uint32_t token = open().token;
    send(token, 101, 0, 55);
    StreamServer restarted = server(1);
    restarted.startedAt = 5000;
    restarted.position = { 0, 12 };
    router.updateServer(restarted);
    router.confirmServers(clock.now());
    CHECK(open(Endpoint(0x64400009, 1)).server->id == "i-1");
    const auto advanceConfirmed = [this](int seconds) {
        for (int second = 0; second < seconds; ++second) {
            advanceClock(milliseconds(1000));
            router.confirmServers(clock.now());
            router.tick();
        }
    };
    router.removeServer(copy.id, { 0, 13 });
    advanceConfirmed(8);
    CHECK(router.takeResets().empty());
    CHECK(send(token, 101, 900, 55).action == Action::Forward);
    // The removal of the server's own entry is evidence about the server.
    router.removeServer("i-1", { 0, 20 });
    advanceConfirmed(6);
    CHECK(router.takeResets().size() == 1);
}

TEST_CASE_METHOD(RouterFixture, "a server takes flows once a configuration names its service", "[stream][router][odd]")
{
    // Guards against entries that are lost because they were registered before the configuration that uses them.
    StreamServer tile = server(2);
    tile.service = "tile";
    makeReady({ server(1), tile });
    CHECK(router.directory().all().size() == 1);
    CHECK(events.last("server_entries_unused") == "entries=1 first=i-2 service_name=tile address=10.1.0.2:8080");
    router.applyConfiguration(configurationWith(6, "tile"));
    const StreamDecision decision = router.route({ .client = client, .service = unsafeService, .opens = true });
    REQUIRE(decision.action == Action::Forward);
    CHECK(decision.server->id == "i-2");
    CHECK(events.last("server_entries_unused") == "entries=0");
}

TEST_CASE_METHOD(RouterFixture, "flows reach a server whose service no route targets any more", "[stream][router][odd]")
{
    // Guards against flows that an instance drops because it started after the configuration had moved their route to another service.
    StreamServer retired = server(2);
    retired.service = "tile";
    makeReady({ server(1), retired });
    const std::uint32_t token = ServerDirectory::tokenOf(retired);
    REQUIRE(send(token, 500, 900, 7).action == Action::Forward);
    CHECK(send(token, 500, 900, 7).server->id == "i-2");
    // Its own connections are evidence about it, unless it drains.
    advanceClock(milliseconds(100));
    router.tick();
    REQUIRE(router.takeDueProbes().size() == 1);
    retired.phase = ServerPhase::Draining;
    retired.position = { 0, 12 };
    router.updateServer(retired);
    advanceClock(milliseconds(200));
    CHECK(send(token, 500, 900, 7).action == Action::Forward);
    CHECK(router.takeDueProbes().empty());
}

TEST_CASE_METHOD(RouterFixture, "a removed entry proves the end only after the store has worked for a while", "[stream][router]")
{
    makeReady({ server(1) });
    const std::uint32_t token = open().token;
    send(token, 101, 0, 55);
    const auto advanceConfirmed = [this](int seconds) {
        for (int second = 0; second < seconds; ++second) {
            advanceClock(milliseconds(1000));
            router.confirmServers(clock.now());
            router.tick();
        }
    };
    SECTION("the store works all the time")
    {
        router.removeServer("i-1", { 0, 12 });
        advanceConfirmed(2);
        CHECK(router.takeResets().empty());
        CHECK(send(token, 101, 900, 55).action == Action::Forward);
        advanceConfirmed(1);
        CHECK(router.takeResets().size() == 1);
    }
    SECTION("an unconfirmed view proves nothing")
    {
        router.removeServer("i-1", { 0, 12 });
        for (int second = 0; second < 20; ++second) {
            advanceClock(milliseconds(1000));
            router.tick();
        }
        CHECK(router.takeResets().empty());
    }
    SECTION("entries that expired during an outage may come back")
    {
        advanceClock(milliseconds(9000));
        router.tick();
        router.removeServer("i-1", { 0, 12 });
        router.confirmServers(clock.now());
        advanceConfirmed(2);
        CHECK(router.takeResets().empty());
        StreamServer back = server(1);
        back.position = { 0, 14 };
        router.updateServer(back);
        advanceConfirmed(9);
        CHECK(router.takeResets().empty());
        CHECK(send(token, 101, 900, 55).action == Action::Forward);
    }
}

TEST_CASE_METHOD(RouterFixture, "the report of another instance applies only to the incarnation that it names", "[stream][router]")
{
    // The server may have restarted with the same id in the meantime, so this instance probes it before it resets flows.
    makeReady({ server(1), server(2) });
    const std::uint32_t token = open().token;
    const std::string id = token == ServerDirectory::tokenOf(server(1)) ? "i-1" : "i-2";
    send(token, 101, 0, 55);
    router.handleEndedServer({ id, 999 });
    router.handleEndedServer({ "i-9", 1000 });
    CHECK(router.takeDueProbes().empty());
    router.handleEndedServer({ id, 1000 });
    CHECK(router.takeResets().empty());
    CHECK(open(Endpoint(0x64400009, 1)).token != token);
    REQUIRE(router.takeDueProbes().size() == 1);
    finishProbe(token, ConnectResult::Refused);
    CHECK(router.takeResets().size() == 1);
    CHECK(router.takeEndedServers().empty());
}

TEST_CASE_METHOD(RouterFixture, "a reported server without flows is probed only when a flow arrives", "[stream][router]")
{
    // Connections have a cost, and every end is reported to all instances.
    makeReady({ server(1), server(2) });
    const std::uint32_t token = ServerDirectory::tokenOf(server(1));
    router.handleEndedServer({ "i-1", 1000 });
    CHECK(router.takeDueProbes().empty());
    CHECK(send(token, 101, 900, 55).action == Action::Forward);
    CHECK(router.takeDueProbes().size() == 1);
}

TEST_CASE_METHOD(RouterFixture, "an end that this instance detects is reported to other instances once", "[stream][router]")
{
    makeReady({ server(1) });
    finishProbe(ServerDirectory::tokenOf(RouterFixture::server(1)), ConnectResult::Refused);
    CHECK(router.takeEndedServers() == std::vector<EndedServer> { { "i-1", 1000 } });
    finishProbe(ServerDirectory::tokenOf(RouterFixture::server(1)), ConnectResult::Refused);
    CHECK(router.takeEndedServers().empty());
}

TEST_CASE_METHOD(RouterFixture, "packets for a new incarnation are dropped until its entry is known", "[stream][router]")
{
    // Regression test (soak seed 101): an instance that had missed the restart mistook flows of the new incarnation for earlier ones.
    makeReady({ server(1) });
    finishProbe(ServerDirectory::tokenOf(server(1)), ConnectResult::Refused);
    StreamServer restarted = server(1);
    restarted.startedAt = 5000;
    const std::uint32_t token = ServerDirectory::tokenOf(restarted);
    CHECK(send(token, 101, 900, 55).action == Action::Drop);
    restarted.position = { 0, 12 };
    router.updateServer(restarted);
    CHECK(send(token, 101, 900, 55).action == Action::Forward);
}

TEST_CASE_METHOD(RouterFixture, "packets with the token of an earlier incarnation go to the current one", "[stream][router]")
{
    // Regression test (soak seeds 125, 127): an instance that didn't know of the restart opened flows at the new incarnation with the old
    // token, and reset them when it learned of the restart. The server itself resets flows that it doesn't have.
    makeReady({ server(1) });
    const std::uint32_t token = open().token;
    send(token, 101, 0, 55);
    StreamServer restarted = server(1);
    restarted.startedAt = 5000;
    restarted.position = { 0, 12 };
    router.updateServer(restarted);
    CHECK(router.takeResets().empty());
    const StreamDecision later = send(token, 101, 900, 55);
    CHECK(later.action == Action::Forward);
    CHECK(later.token == ServerDirectory::tokenOf(restarted));
    CHECK(open(Endpoint(0x64400009, 1)).token == ServerDirectory::tokenOf(restarted));
}

TEST_CASE_METHOD(RouterFixture, "a configuration never goes back to an older version, and a new one resets only flows without a route",
    "[stream][router]")
{
    makeReady({ server(1) });
    const std::uint32_t token = open().token;
    send(token, 101, 0, 55);
    StreamConfiguration same = configuration(6);
    CHECK(router.applyConfiguration(same));
    CHECK(router.takeResets().empty());
    advanceClock(StoreView::maxConfirmationDelay);
    router.confirmConfiguration({ 0, 7 }, clock.now());
    StreamConfiguration without = configuration(8);
    without.routes.clear();
    CHECK(router.applyConfiguration(without));
    CHECK(router.takeResets().size() == 1);
    CHECK_FALSE(router.applyConfiguration(configuration(7)));
    StreamConfiguration rewritten = configuration(7);
    rewritten.position = { 0, 9 };
    CHECK_FALSE(router.applyConfiguration(rewritten));
    CHECK(open().outcome == StreamOutcome::NoRoute);
}

TEST_CASE_METHOD(RouterFixture, "new flows follow the weights of a split route", "[stream][router]")
{
    StreamServer other = server(2);
    other.service = "tile";
    makeReady({ server(1), other });
    StreamConfiguration split = configuration(6);
    split.routes.at(service).targets = { { "pond", 90 }, { "tile", 10 } };
    router.applyConfiguration(split);
    int tiles = 0;
    for (std::uint16_t port = 1; port <= 1000; ++port) {
        tiles += open(Endpoint(0x64400009, port)).server->service == "tile" ? 1 : 0;
    }
    CHECK(tiles > 60);
    CHECK(tiles < 140);
}

TEST_CASE_METHOD(RouterFixture, "the ages of the views that place a flow are reported", "[stream][router]")
{
    // An old view explains why flows were placed on servers that have ended. A gauge shows the age only at the moment of the scrape.
    makeReady({ server(1) });
    router.confirmConfiguration({ 0, 10 }, clock.now());
    advanceClock(milliseconds(400));
    router.confirmServers(clock.now());
    advanceClock(milliseconds(300));
    open();
    REQUIRE(times.viewAges.size() == 1);
    CHECK(times.viewAges.front().first == milliseconds(300));
    CHECK(times.viewAges.front().second == milliseconds(700));
}

TEST_CASE_METHOD(RouterFixture, "a server that becomes slow and recovers is logged once for each change", "[stream][router]")
{
    makeReady({ server(1), server(2), server(3), server(4) });
    const auto respond = [this](std::uint64_t number, milliseconds time, int times) {
        const Endpoint from(0x64400020, static_cast<std::uint16_t>(number));
        const std::uint32_t token = ServerDirectory::tokenOf(server(number));
        for (int round = 0; round < times; ++round) {
            ++requestCount;
            send(token, 1000 * requestCount, 900, 500 * requestCount, from);
            advanceClock(time);
            send(token, 1000 * requestCount + 900, 0, 500 * requestCount + 400, from);
        }
    };
    for (std::uint64_t number = 1; number <= 4; ++number) {
        respond(number, milliseconds(number == 1 ? 400 : 30), 20);
    }
    open(Endpoint(0x64400009, 1));
    open(Endpoint(0x64400009, 2));
    CHECK(events.count("server_pace") == 1);
    CHECK(events.last("server_pace").find("server=i-1 pace=slow") != std::string::npos);
    respond(1, milliseconds(30), 40);
    open(Endpoint(0x64400009, 3));
    CHECK(events.count("server_pace") == 2);
    CHECK(events.last("server_pace").find("server=i-1 pace=alike") != std::string::npos);
}

TEST_CASE_METHOD(RouterFixture, "opening and response times are reported", "[stream][router]")
{
    makeReady({ server(1) });
    const std::uint32_t token = open().token;
    advanceClock(milliseconds(7));
    send(token, 101, 0, 1);
    send(token, 101, 900, 1);
    advanceClock(milliseconds(30));
    send(token, 1001, 0, 501);
    REQUIRE(times.openingTimes.size() == 1);
    CHECK(times.openingTimes.front() == milliseconds(7));
    REQUIRE(times.responseTimes.size() == 1);
    CHECK(times.responseTimes.front() == milliseconds(30));
}

TEST_CASE_METHOD(RouterFixture,
    "servers whose entries expired during an outage of the store get flows until they have had time to be listed again", "[stream][router]")
{
    // After an outage of several seconds the entries have expired, and the first list of the store is nearly empty. Without this rule all
    // new flows would fail, or go to the few servers that are listed first.
    makeReady({ server(1), server(2), server(3), server(4) });
    StreamServer leaving = server(4);
    leaving.phase = ServerPhase::Draining;
    leaving.position = { 0, 11 };
    router.updateServer(leaving);
    advanceClock(milliseconds(9000));
    std::set<std::string> ids;
    const auto placeSome = [this, &ids](std::uint16_t first) {
        ids.clear();
        for (std::uint16_t port = first; port < first + 30; ++port) {
            if (const StreamDecision decision = open(Endpoint(0x64400009, port)); decision.server != nullptr) {
                ids.insert(decision.server->id);
            }
            router.takeDueProbes();
        }
    };
    SECTION("all entries are missing")
    {
        router.replaceServers({}, {}, { 0, 20 }, clock.now());
        placeSome(1);
        CHECK(ids == std::set<std::string> { "i-1", "i-2", "i-3" });
        advanceClock(milliseconds(2600));
        CHECK(open(Endpoint(0x64400009, 900)).outcome == StreamOutcome::NoServer);
    }
    SECTION("one server is listed again")
    {
        StreamServer back = server(1);
        back.position = { 0, 19 };
        router.replaceServers({ back }, {}, { 0, 20 }, clock.now());
        placeSome(1);
        CHECK(ids == std::set<std::string> { "i-1", "i-2", "i-3" });
        advanceClock(milliseconds(2600));
        placeSome(100);
        CHECK(ids == std::set<std::string> { "i-1" });
    }
    SECTION("one entry is missing, so its server has most likely ended")
    {
        StreamServer second = server(2);
        router.replaceServers({ server(1), second }, {}, { 0, 20 }, clock.now());
        placeSome(1);
        CHECK(ids == std::set<std::string> { "i-1", "i-2" });
    }
    SECTION("a server that refuses connections is not chosen")
    {
        router.replaceServers({}, {}, { 0, 20 }, clock.now());
        finishProbe(ServerDirectory::tokenOf(server(2)), ConnectResult::Refused);
        placeSome(1);
        CHECK(ids == std::set<std::string> { "i-1", "i-3" });
    }
}

TEST_CASE_METHOD(
    RouterFixture, "a failed connection proves nothing about a server that began to drain during the probe", "[stream][router]")
{
    // Guards against resets of open flows: a draining server may close its listener before its flows have ended.
    makeReady({ server(1) });
    const std::uint32_t token = open().token;
    send(token, 101, 900, 55);
    advanceClock(milliseconds(100));
    router.tick();
    REQUIRE(router.takeDueProbes().size() == 1);
    StreamServer draining = server(1);
    draining.phase = ServerPhase::Draining;
    draining.position = { 0, 11 };
    router.updateServer(draining);
    const ConnectResult result = GENERATE(ConnectResult::Refused, ConnectResult::Unanswered);
    finishProbe(token, result);
    CHECK(router.failureDetector().status(token, clock.now()) == ServerStatus::Trusted);
    CHECK(router.takeResets().empty());
    CHECK(router.takeEndedServers().empty());
    CHECK(send(token, 101, 900, 55).action == Action::Forward);
    advanceClock(milliseconds(1000));
    CHECK(router.takeDueProbes().empty());
}

TEST_CASE_METHOD(RouterFixture, "copies of an opening packet that are read at once go to the same server", "[stream][router]")
{
    // Guards against a flow whose packets reach two servers: packets wait while the process has no CPU time or holds them during a start,
    // and the network may duplicate them.
    makeReady({ server(1), server(2) });
    const std::uint32_t first = open().token;
    advanceClock(milliseconds(5));
    SECTION("the server has not failed")
    {
        const StreamDecision copy = open(client, 1);
        CHECK(copy.action == Action::Forward);
        CHECK(copy.token == first);
        CHECK(router.failureDetector().status(first, clock.now()) == ServerStatus::Trusted);
        CHECK(router.takeDueProbes().empty());
        advanceClock(milliseconds(195));
        const StreamDecision later = open(client, 1);
        CHECK(later.outcome == StreamOutcome::PlacedAgain);
        CHECK(later.token != first);
    }
    SECTION("the server has refused a connection")
    {
        finishProbe(first, ConnectResult::Refused);
        CHECK(open(client, 1).token != first);
    }
}

TEST_CASE_METHOD(RouterFixture, "packets of flows on a route that this instance has never known are dropped", "[stream][router]")
{
    // Another instance may have a newer configuration and have opened the flow, which a reset would break.
    makeReady({ server(1) });
    const auto sendData = [this] {
        return router.route(
            { .client = client, .service = unsafeService, .token = ServerDirectory::tokenOf(server(1)), .length = 900, .sequence = 101 });
    };
    const auto withRoute = [](std::uint64_t revision) {
        StreamConfiguration both = configuration(revision);
        both.routes.emplace(unsafeService, StreamRoute { "r-2", unsafeService, { { "pond", 1 } } });
        return both;
    };
    const StreamDecision early = sendData();
    CHECK(early.action == Action::Drop);
    CHECK(early.outcome == StreamOutcome::NoRoute);
    CHECK(router.route({ .client = client, .service = unsafeService, .opens = true }).action == Action::Reset);
    router.applyConfiguration(withRoute(6));
    CHECK(sendData().action == Action::Forward);
    advanceClock(StoreView::maxConfirmationDelay);
    router.confirmConfiguration({ 0, 7 }, clock.now());
    router.applyConfiguration(configuration(8));
    CHECK(router.takeResets().size() == 1);
    CHECK(sendData().action == Action::Reset);
    SECTION("the route returns")
    {
        router.applyConfiguration(withRoute(10));
        CHECK(sendData().action == Action::Forward);
    }
    SECTION("later configurations don't have the route either")
    {
        router.applyConfiguration(configuration(10));
        CHECK(sendData().action == Action::Reset);
    }
    SECTION("all flows on the removed route have ended")
    {
        advanceClock(ServerDirectory::retention);
        router.tick();
        CHECK(sendData().action == Action::Drop);
    }
}

TEST_CASE_METHOD(RouterFixture, "a removed entry ends no server that is known to run after the removal", "[stream][router]")
{
    // Guards against resets of open flows of a server whose entry expired, or that still drains after its entry was removed.
    makeReady({ server(1) });
    const std::uint32_t token = open().token;
    send(token, 101, 0, 55);
    const auto advanceConfirmed = [this](ConnectResult probeResult) {
        for (const ProbeTarget &probe : router.takeDueProbes()) {
            finishProbe(probe.token, probeResult);
        }
        advanceClock(milliseconds(1000));
        router.confirmServers(clock.now());
        router.tick();
    };
    SECTION("a draining server answers requests that are sent after the removal")
    {
        StreamServer draining = server(1);
        draining.phase = ServerPhase::Draining;
        draining.position = { 0, 11 };
        router.updateServer(draining);
        router.removeServer("i-1", { 0, 12 });
        for (std::uint32_t request = 0; request < 10; ++request) {
            send(token, 101 + request * 100, 100, 55 + request * 400);
            advanceClock(milliseconds(40));
            send(token, 201 + request * 100, 0, 455 + request * 400);
            advanceConfirmed(ConnectResult::Unanswered);
            CHECK(router.takeResets().empty());
        }
        for (int second = 0; second < 3; ++second) {
            advanceConfirmed(ConnectResult::Unanswered);
        }
        CHECK(router.takeResets().size() == 1);
    }
    SECTION("the host accepts connections after the removal")
    {
        router.removeServer("i-1", { 0, 12 });
        for (int second = 0; second < 10; ++second) {
            advanceConfirmed(ConnectResult::Accepted);
            CHECK(router.takeResets().empty());
        }
        for (int second = 0; second < 4; ++second) {
            advanceConfirmed(ConnectResult::Unanswered);
        }
        CHECK(router.takeResets().size() == 1);
    }
    SECTION("only the response to a request from before the removal arrives")
    {
        send(token, 101, 100, 55);
        advanceClock(milliseconds(40));
        router.removeServer("i-1", { 0, 12 });
        advanceClock(milliseconds(40));
        send(token, 201, 0, 455);
        for (int second = 0; second < 3; ++second) {
            CHECK(router.takeResets().empty());
            advanceConfirmed(ConnectResult::Unanswered);
        }
        CHECK(router.takeResets().size() == 1);
    }
    SECTION("another server accepts connections at the address")
    {
        router.removeServer("i-1", { 0, 12 });
        StreamServer successor = server(2);
        successor.address = server(1).address;
        successor.startedAt = 9000;
        successor.position = { 0, 13 };
        router.updateServer(successor);
        for (int second = 0; second < 3; ++second) {
            CHECK(router.takeResets().empty());
            advanceConfirmed(ConnectResult::Accepted);
        }
        CHECK(router.takeResets().size() == 1);
    }
    SECTION("nothing shows that the server still runs")
    {
        router.removeServer("i-1", { 0, 12 });
        for (int second = 0; second < 3; ++second) {
            CHECK(router.takeResets().empty());
            advanceConfirmed(ConnectResult::Unanswered);
        }
        CHECK(router.takeResets().size() == 1);
    }
}

TEST_CASE_METHOD(
    RouterFixture, "a version that is written after the store returned from an older copy is in force at once", "[stream][router][era]")
{
    // Guards against changes that are not in force in time: the revisions of a returned store are lower than those from before.
    StreamConfiguration known = configuration(60);
    makeReady({ server(1) });
    REQUIRE(router.applyConfiguration(known));
    router.confirmConfiguration({ 0, 61 }, clock.now());
    StreamConfiguration written = known;
    written.version = known.version + 1;
    written.position = { 1, 12 };
    written.routes.emplace(unsafeService, StreamRoute { "r-2", unsafeService, { { "pond", 1 } } });
    CHECK(router.applyConfiguration(written));
    router.confirmConfiguration({ 1, 12 }, clock.now());
    CHECK(router.route({ .client = client, .service = unsafeService, .opens = true }).action == Action::Forward);
    CHECK(router.viewStatus().configurationCheckedPosition == StorePosition(1, 12));
    CHECK(events.last("store_era_changed") == "view=configuration before=0 era=1 revision_before=61 revision=12");
}

TEST_CASE_METHOD(RouterFixture, "an older version in a returned store doesn't replace the one in force", "[stream][router][era]")
{
    // Guards against a configuration that goes back: the operator writes the lost versions again, with higher revisions than before.
    makeReady({ server(1) });
    StreamConfiguration newest = configuration(60);
    REQUIRE(router.applyConfiguration(newest));
    StreamConfiguration older = configuration(50);
    older.position = { 1, 70 };
    older.routes.clear();
    advanceClock(milliseconds(400));
    CHECK_FALSE(router.applyConfiguration(older));
    router.confirmConfiguration({ 1, 71 }, clock.now());
    CHECK(router.configuration() == newest);
    CHECK(open().action == Action::Forward);
    CHECK(events.last("configuration_ignored") == "version=150 in_force=180 era=1 revision=70");
    // The instance watches the returned store from where it was read, and its view counts as confirmed.
    CHECK(router.viewStatus().configurationCheckedPosition == StorePosition(1, 71));
    CHECK(router.viewStatus().configurationConfirmedAt == clock.now());
}

TEST_CASE_METHOD(
    RouterFixture, "of two configurations with the same version, the one at the newest position is in force", "[stream][router][era]")
{
    // Guards against instances that disagree: a version that was lost and written again with other content exists twice.
    makeReady({ server(1) });
    StreamConfiguration lost = configuration(60);
    lost.routes.clear();
    REQUIRE(router.applyConfiguration(lost));
    StreamConfiguration written = configuration(60);
    written.position = { 1, 20 };
    CHECK(router.applyConfiguration(written));
    CHECK_FALSE(router.applyConfiguration(lost));
    CHECK(router.configuration() == written);
}

TEST_CASE_METHOD(RouterFixture, "a drain that is written after the store returned takes effect", "[stream][router][era]")
{
    // Guards against flows that are placed on a draining server because the revision of its report is below that of the list.
    makeReady({ server(1), server(2) });
    router.replaceServers({ server(1), server(2) }, {}, { 0, 60 }, clock.now());
    const auto atEra = [](StreamServer entry, std::uint64_t revision) {
        entry.position = { 1, revision };
        return entry;
    };
    router.replaceServers({ atEra(server(1), 5), atEra(server(2), 6) }, {}, { 1, 20 }, clock.now());
    StreamServer draining = atEra(server(1), 21);
    draining.phase = ServerPhase::Draining;
    ServerUpdate update;
    update.listed = draining;
    update.position = { 1, 21 };
    router.applyServerUpdates({ { update }, { 1, 21 } }, clock.now());
    for (std::uint16_t port = 1; port < 20; ++port) {
        CHECK(open(Endpoint(0x64400009, port)).token == ServerDirectory::tokenOf(RouterFixture::server(2)));
    }
    CHECK(router.viewStatus().serversPosition == StorePosition(1, 21));
}

TEST_CASE_METHOD(
    RouterFixture, "a server that was seen draining doesn't become ready because an old copy lists it so", "[stream][router][era]")
{
    // Guards against new flows at a server whose drain was acknowledged before the store returned.
    StreamServer draining = server(1);
    draining.phase = ServerPhase::Draining;
    makeReady({ draining, server(2) });
    StreamServer copied = server(1);
    copied.position = { 1, 5 };
    StreamServer other = server(2);
    other.position = { 1, 6 };
    router.replaceServers({ copied, other }, {}, { 1, 9 }, clock.now());
    REQUIRE(router.viewStatus().serversPosition == StorePosition(1, 9));
    for (std::uint16_t port = 1; port < 20; ++port) {
        CHECK(open(Endpoint(0x64400009, port)).token == ServerDirectory::tokenOf(RouterFixture::server(2)));
    }
    SECTION("its next incarnation is ready")
    {
        copied.startedAt = 5000;
        copied.position = { 1, 10 };
        router.updateServer(copied);
        CHECK(router.directory().findId("i-1")->server.phase == ServerPhase::Ready);
    }
}

TEST_CASE_METHOD(RouterFixture, "servers that a returned store lacks keep their flows until they have had time to be listed again",
    "[stream][router][era]")
{
    // Guards against resets of open flows, and against refused new ones, when the copy is from before the registration of the servers and
    // the store was away for less than an expiry takes.
    makeReady({ server(1), server(2), server(3) });
    router.replaceServers({ server(1), server(2), server(3) }, {}, { 0, 60 }, clock.now());
    const std::uint32_t token = open().token;
    send(token, 101, 0, 55);
    advanceClock(milliseconds(1000));
    router.replaceServers({}, {}, { 1, 20 }, clock.now());
    REQUIRE(router.viewStatus().serversPosition == StorePosition(1, 20));
    CHECK(open(Endpoint(0x64400009, 1)).action == Action::Forward);
    const auto advanceConfirmed = [this](int seconds) {
        for (int second = 0; second < seconds; ++second) {
            advanceClock(milliseconds(1000));
            router.confirmServers(clock.now());
            router.tick();
        }
    };
    advanceConfirmed(2);
    CHECK(router.takeResets().empty());
    SECTION("the server registers again")
    {
        StreamServer back = router.directory().findToken(token)->server;
        back.position = { 1, 25 };
        router.updateServer(back);
        advanceConfirmed(9);
        CHECK(router.takeResets().empty());
        CHECK(send(token, 101, 900, 55).action == Action::Forward);
        CHECK(router.failureDetector().status(token, clock.now()) == ServerStatus::Trusted);
    }
    SECTION("the server stays missing, so it has ended")
    {
        advanceConfirmed(1);
        const std::vector<StreamReset> resets = router.takeResets();
        CHECK(std::count_if(resets.begin(), resets.end(), [](const StreamReset &reset) { return reset.client == client; }) == 1);
        CHECK(events.last("server_standing").find("evidence=entry_removed") != std::string::npos);
    }
}

TEST_CASE_METHOD(RouterFixture, "a removal that is not confirmed when the store returns is confirmed against the returned store",
    "[stream][router][era]")
{
    // Guards against the end of a server that was removed just before and that has not had time to register again.
    makeReady({ server(1) });
    const std::uint32_t token = open().token;
    send(token, 101, 0, 55);
    router.removeServer("i-1", { 0, 12 });
    const auto advanceConfirmed = [this](int seconds) {
        for (int second = 0; second < seconds; ++second) {
            advanceClock(milliseconds(1000));
            router.confirmServers(clock.now());
            router.tick();
        }
    };
    advanceConfirmed(2);
    router.replaceServers({}, {}, { 1, 5 }, clock.now());
    advanceConfirmed(2);
    CHECK(router.takeResets().empty());
    advanceConfirmed(1);
    CHECK(router.takeResets().size() == 1);
}

TEST_CASE_METHOD(RouterFixture, "a server whose end was proven is not trusted only because an old copy lists it", "[stream][router][era]")
{
    // Guards against flows that are placed on a server that ended before the store returned.
    makeReady({ server(1), server(2) });
    const std::uint32_t token = ServerDirectory::tokenOf(server(1));
    const auto advanceConfirmed = [this](int seconds) {
        for (int second = 0; second < seconds; ++second) {
            advanceClock(milliseconds(1000));
            router.confirmServers(clock.now());
            router.tick();
        }
    };
    StreamServer copied = server(1);
    copied.position = { 1, 5 };
    StreamServer other = server(2);
    other.position = { 1, 6 };
    const auto onlyOther = [this] {
        for (std::uint16_t port = 1; port < 20; ++port) {
            if (open(Endpoint(0x64400009, port)).token != ServerDirectory::tokenOf(RouterFixture::server(2))) {
                return false;
            }
        }
        return true;
    };
    SECTION("its connection was refused")
    {
        finishProbe(token, ConnectResult::Refused);
        router.removeServer("i-1", { 0, 12 });
    }
    SECTION("its entry was removed, and the removal was confirmed")
    {
        router.removeServer("i-1", { 0, 12 });
        advanceConfirmed(4);
    }
    REQUIRE(router.failureDetector().status(token, clock.now()) == ServerStatus::Gone);
    router.replaceServers({ copied, other }, {}, { 1, 9 }, clock.now());
    REQUIRE(router.viewStatus().serversPosition == StorePosition(1, 9));
    CHECK(router.failureDetector().status(token, clock.now()) == ServerStatus::Gone);
    CHECK(onlyOther());
    // A probe that is accepted corrects a false proof.
    advanceConfirmed(1);
    const std::vector<ProbeTarget> probes = router.takeDueProbes();
    CHECK(std::any_of(probes.begin(), probes.end(), [token](const ProbeTarget &target) { return target.token == token; }));
    finishProbe(token, ConnectResult::Accepted);
    advanceConfirmed(4);
    CHECK(router.failureDetector().status(token, clock.now()) == ServerStatus::Trusted);
}

TEST_CASE_METHOD(
    RouterFixture, "a server whose end was proven is trusted again when it registers in the returned store", "[stream][router][era]")
{
    // Guards against a server that stays without flows: only its own registration shows that the proof was wrong.
    makeReady({ server(1), server(2) });
    router.replaceServers({ server(1), server(2) }, {}, { 0, 60 }, clock.now());
    const std::uint32_t token = ServerDirectory::tokenOf(server(1));
    router.removeServer("i-1", { 0, 62 });
    for (int second = 0; second < 4; ++second) {
        advanceClock(milliseconds(1000));
        router.confirmServers(clock.now());
        router.tick();
    }
    REQUIRE(router.failureDetector().status(token, clock.now()) == ServerStatus::Gone);
    StreamServer other = server(2);
    other.position = { 1, 6 };
    router.replaceServers({ other }, {}, { 1, 9 }, clock.now());
    StreamServer back = server(1);
    back.position = { 1, 11 };
    router.updateServer(back);
    CHECK(router.failureDetector().status(token, clock.now()) == ServerStatus::Trusted);
    CHECK(router.directory().listed("pond").size() == 2);
}

TEST_CASE_METHOD(RouterFixture, "a server whose address was reused is not listed again by an old copy", "[stream][router][era]")
{
    // Guards against flows at the address of another service: the copy may be from before the registration of the address's new owner.
    makeReady({ server(1) });
    router.applyConfiguration(configurationWith(6, "tile"));
    advanceClock(milliseconds(2600));
    router.confirmServers(clock.now());
    StreamServer successor = server(2);
    successor.service = "tile";
    successor.address = server(1).address;
    successor.startedAt = 9000;
    successor.position = { 0, 12 };
    router.updateServer(successor);
    router.removeServer("i-1", { 0, 13 });
    StreamServer copied = server(1);
    copied.position = { 1, 5 };
    router.replaceServers({ copied }, {}, { 1, 9 }, clock.now());
    REQUIRE(router.viewStatus().serversPosition == StorePosition(1, 9));
    CHECK(router.directory().listed("pond").empty());
    CHECK(open().outcome == StreamOutcome::NoServer);
}

TEST_CASE_METHOD(RouterFixture, "changes of another era don't continue a list of servers", "[stream][router][era]")
{
    // Guards against a view with gaps: what was written before the changes in the newer era is not part of them.
    makeReady({ server(1) });
    StreamServer added = server(2);
    added.position = { 1, 21 };
    ServerUpdate update;
    update.listed = added;
    update.position = { 1, 21 };
    router.applyServerUpdates({ { update }, { 1, 21 } }, clock.now() + milliseconds(100));
    CHECK(router.viewStatus().serversPosition == StorePosition(0, 10));
    CHECK(router.viewStatus().serversConfirmedAt == clock.now());
    CHECK(router.directory().listed("pond").size() == 1);
}

TEST_CASE_METHOD(RouterFixture, "responses and overdue requests are in the load report", "[stream][router][loadreport]")
{
    LoadReporter reporter;
    const LoadReports reports;
    router.useLoadReporter(reporter, reports);
    makeReady({ server(1) });
    const std::uint32_t token = open().token;
    send(token, 101, 900, 55);
    advanceClock(milliseconds(30));
    send(token, 1001, 0, 300);
    REQUIRE(reporter.servers(clock.now()).size() == 1);
    CHECK(reporter.servers(clock.now())[0].responseMs == Approx(30));
    send(token, 1001, 900, 300);
    advanceClock(milliseconds(100));
    router.tick();
    CHECK(reporter.servers(clock.now())[0].responses == 2);
    CHECK(reporter.servers(clock.now())[0].responseMs > 50);
}
