#include "loadreport/loadview.h"
#include "shortage/flowadmission.h"
#include "stream/routerfixture.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;
using Verdict = FlowAdmission::Verdict;
using Kind = HeldResolution::Kind;

namespace
{

/** Reports the same load for each service. */
class FixedLoadView : public LoadView
{
public:
    std::optional<ServiceLoadEstimate> serviceLoad(const std::string &, TimePoint) const override
    {
        return estimate;
    }

    std::optional<ServiceLoadEstimate> estimate;
};

/** An admission for the service "pond" with an urgent route (priority 1), one with priority 2 and one without a priority. */
class AdmissionFixture
{
public:
    AdmissionFixture()
    {
        StreamConfiguration configuration { .version = 1 };
        const std::vector<std::optional<std::uint32_t>> priorities { 2, 1, std::nullopt };
        for (std::size_t index = 0; index < priorities.size(); ++index) {
            routes.push_back({ .name = "r",
                .address = Endpoint(0xc6120001, static_cast<std::uint16_t>(443 + index)),
                .targets = { { "pond", 1 } },
                .priority = priorities[index],
                .timeLimit = milliseconds(1000),
                .targetLatency = milliseconds(250) });
            configuration.routes.emplace(routes.back().address, routes.back());
        }
        admission.applyConfiguration(configuration);
        admission.setUsableSlots("pond", 10);
        tick();
        for (std::uint16_t port = 1; port <= 100; ++port) { // ends the slow start
            CHECK(open(0, port) == Verdict::Admit);
            respond(0, port);
        }
        tick();
    }

    Verdict open(std::size_t route, std::uint16_t port, ServerUse use = ServerUse::Usable, bool opens = true)
    {
        return admission.decide({ client(port), routes[route].address, &routes[route], "pond", opens ? 0U : 7U, opens, use });
    }

    void respond(std::size_t route, std::uint16_t port)
    {
        admission.recordOpened(client(port), routes[route].address, milliseconds(2));
        admission.recordRequest(client(port), routes[route].address, 7);
        clock.advance(milliseconds(20));
        admission.recordResponse(client(port), routes[route].address, milliseconds(20));
    }

    void tick(milliseconds time = milliseconds(5))
    {
        clock.advance(time);
        admission.tick(instances, &reports, [this](std::uint32_t) { return use; });
    }

    /** Makes the service short by the reports of other instances, with an equal share of 10 instances: 1 slot. */
    void makeShort()
    {
        instances = 10;
        reports.estimate = ServiceLoadEstimate { 2, admission.load("pond")->requestsPerSecond.value(), 9, clock.now() };
        tick();
        REQUIRE(events.count("service_short") == 1);
    }

    static Endpoint client(std::uint16_t port)
    {
        return Endpoint(0x64400001, port);
    }

    ManualClock clock;
    EventCollector events;
    FlowAdmission admission { { clock, events } };
    std::vector<StreamRoute> routes;
    FixedLoadView reports;
    std::size_t instances = 1;
    ServerUse use = ServerUse::Usable;
};

} // namespace

TEST_CASE_METHOD(AdmissionFixture, "nothing is held or refused while servers have room", "[shortage]")
{
    for (std::uint16_t port = 200; port < 208; ++port) {
        CHECK(open(0, port) == Verdict::Admit);
    }
    tick();
    CHECK(events.count("service_short") == 0);
    CHECK(admission.takeResolved().empty());
}

TEST_CASE_METHOD(AdmissionFixture, "while a service is short, urgent requests pass and others wait for a response", "[shortage]")
{
    makeShort();
    CHECK(open(0, 200) == Verdict::Admit);
    CHECK(open(0, 201) == Verdict::Admit);
    CHECK(open(0, 202) == Verdict::Admit); // a part of a third one
    CHECK(open(0, 203) == Verdict::Hold);
    CHECK(open(0, 203) == Verdict::Hold); // its copy
    CHECK(open(1, 204) == Verdict::Admit);
    respond(0, 200);
    respond(0, 201);
    const std::vector<HeldResolution> resolved = admission.takeResolved();
    REQUIRE(resolved.size() == 1);
    CHECK(resolved[0] == HeldResolution { client(203), routes[0].address, Kind::Release });
    CHECK(open(0, 203) == Verdict::Admit); // the released packet is routed again
}

TEST_CASE_METHOD(AdmissionFixture, "a route without a priority is neither held nor refused", "[shortage]")
{
    makeShort();
    for (std::uint16_t port = 200; port < 250; ++port) {
        CHECK(open(2, port) == Verdict::Admit);
    }
}

TEST_CASE_METHOD(
    AdmissionFixture, "an opening packet without room is refused soon, and data of an open flow is never refused for it", "[shortage]")
{
    makeShort();
    std::size_t refused = 0;
    for (std::uint16_t port = 200; port < 240; ++port) {
        clock.advance(std::chrono::microseconds(100));
        refused += open(0, port) == Verdict::Refuse ? 1 : 0;
        CHECK(open(0, port + 100, ServerUse::Usable, false) != Verdict::Refuse);
    }
    CHECK(refused > 20);
    tick(milliseconds(50)); // a fifth of the target latency
    for (const HeldResolution &resolution : admission.takeResolved()) {
        const bool isOpening = resolution.client.port() < 300;
        CHECK((resolution.kind == Kind::Release || isOpening));
    }
    CHECK(admission.holdsAny());
}

TEST_CASE_METHOD(AdmissionFixture, "each kind of request starts at least once a second, whatever is more urgent", "[shortage]")
{
    makeShort();
    std::size_t released = 0;
    for (std::uint16_t port = 200; port < 240; ++port) {
        open(0, port, ServerUse::Usable, false); // no response ever comes
    }
    for (int time = 0; time < 3000; time += 5) {
        reports.estimate->oldest = clock.now();
        tick();
        for (const HeldResolution &resolution : admission.takeResolved()) {
            released += resolution.kind == Kind::Release ? 1 : 0;
        }
    }
    CHECK(released >= 1);
}

TEST_CASE_METHOD(AdmissionFixture, "requests at slow or failed servers don't use up the room at the others", "[shortage]")
{
    makeShort();
    for (std::uint16_t port = 200; port < 220; ++port) {
        CHECK(open(0, port, ServerUse::Slow, false) == Verdict::Admit);
    }
    CHECK(open(0, 300, ServerUse::Usable, false) == Verdict::Admit);
    admission.recordRequest(client(300), routes[0].address, 7);
    use = ServerUse::Unusable;
    tick();
    CHECK(admission.load("pond")->inFlight == 0);
}

TEST_CASE_METHOD(AdmissionFixture, "held requests are sent when the shortage ends and the reports stop", "[shortage]")
{
    makeShort();
    for (std::uint16_t port = 200; port < 206; ++port) {
        open(0, port, ServerUse::Usable, false);
    }
    REQUIRE(admission.holdsAny());
    reports.estimate.reset();
    instances = 1;
    for (int time = 0; time < 3000; time += 25) {
        tick(milliseconds(25));
    }
    CHECK_FALSE(admission.holdsAny());
    CHECK(events.count("service_ample") == 1);
}

TEST_CASE_METHOD(AdmissionFixture, "a client that gives up frees the room of its request and its held packets", "[shortage]")
{
    makeShort();
    open(0, 200);
    open(0, 201);
    open(0, 202);
    REQUIRE(open(0, 203) == Verdict::Hold);
    admission.recordEnd(client(203), routes[0].address);
    CHECK(admission.takeResolved() == std::vector<HeldResolution> { { client(203), routes[0].address, Kind::Discard } });
    admission.recordEnd(client(200), routes[0].address);
    CHECK(admission.load("pond")->inFlight == 2);
}

TEST_CASE_METHOD(AdmissionFixture, "a single priority switches the rules off", "[shortage]")
{
    StreamConfiguration configuration { .version = 2 };
    configuration.routes.emplace(routes[0].address, routes[0]);
    admission.applyConfiguration(configuration);
    CHECK(admission.services().empty());
    CHECK(open(0, 200) == Verdict::Admit);
    CHECK(admission.load("pond") == nullptr);
}

TEST_CASE_METHOD(AdmissionFixture, "data that follows a released packet waits until that one is sent", "[shortage]")
{
    makeShort();
    for (std::uint16_t port = 200; port < 203; ++port) {
        open(0, port);
    }
    REQUIRE(open(0, 203, ServerUse::Usable, false) == Verdict::Hold);
    CHECK(admission.isHeld(client(203), routes[0].address));
    respond(0, 200);
    respond(0, 201);
    CHECK(admission.isHeld(client(203), routes[0].address)); // released, but not taken yet
    CHECK(admission.takeResolved().size() == 1);
    CHECK_FALSE(admission.isHeld(client(203), routes[0].address));
}

TEST_CASE_METHOD(AdmissionFixture, "a copy whose route draws another service takes no second place", "[shortage]")
{
    // A route with several targets draws one for each copy of an opening packet. The request in flight would be counted for both for ever.
    makeShort();
    for (std::uint16_t port = 200; port < 203; ++port) {
        open(0, port);
    }
    REQUIRE(open(0, 203) == Verdict::Hold);
    StreamRoute split = routes[0];
    CHECK(admission.decide({ client(203), split.address, &split, "other", 0, true, ServerUse::Usable }) == Verdict::Admit); // has no rules
    CHECK(open(0, 203) == Verdict::Hold);
    respond(0, 200);
    respond(0, 201);
    CHECK(admission.takeResolved().size() == 1);
    admission.recordEnd(client(203), routes[0].address);
    admission.recordEnd(client(202), routes[0].address);
    CHECK(admission.load("pond")->inFlight == 0);
}

TEST_CASE_METHOD(AdmissionFixture, "the rules end with a configuration of one priority although requests are in flight", "[shortage]")
{
    makeShort();
    for (std::uint16_t port = 200; port < 203; ++port) {
        open(0, port);
    }
    REQUIRE(open(0, 203) == Verdict::Hold);
    StreamConfiguration configuration { .version = 2 };
    configuration.routes.emplace(routes[0].address, routes[0]);
    admission.applyConfiguration(configuration);
    CHECK(open(0, 204) == Verdict::Admit);
    tick();
    CHECK(admission.takeResolved() == std::vector<HeldResolution> { { client(203), routes[0].address, Kind::Release } });
    CHECK(admission.load("pond") == nullptr);
}

TEST_CASE_METHOD(AdmissionFixture,
    "requests that were urgent when they started are not counted wrongly after the most urgent priority changes", "[shortage]")
{
    for (std::uint16_t port = 200; port < 204; ++port) {
        open(1, port);
    }
    CHECK(admission.load("pond")->urgentInFlight == 4);
    StreamConfiguration configuration { .version = 2 };
    routes[1].priority = 3;
    configuration.routes.emplace(routes[0].address, routes[0]);
    configuration.routes.emplace(routes[1].address, routes[1]);
    admission.applyConfiguration(configuration);
    for (std::uint16_t port = 200; port < 204; ++port) {
        respond(1, port);
    }
    CHECK(admission.load("pond")->urgentInFlight == 0);
    CHECK(admission.load("pond")->inFlight == 0);
}
