#include "stream/routerfixture.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using Action = StreamDecision::Action;
using std::chrono::milliseconds;

namespace
{

class RoutingFixture : public RouterFixture
{
public:
    RoutingFixture()
    {
        router.evacuations().enable();
    }

    void evacuate(const std::vector<std::string> &domains)
    {
        std::vector<Evacuation> listed;
        for (const std::string &domain : domains) {
            listed.push_back({ domain, { 0, m_revision } });
        }
        router.evacuations().replaceAll(listed, { 0, ++m_revision }, clock.now());
    }

    /** Opens a flow from a new port. @return the failure domain that it was sent to, or an empty string */
    std::string place()
    {
        const StreamDecision decision = open({ client.address(), ++m_port });
        return decision.server == nullptr ? std::string() : decision.server->failureDomain;
    }

private:
    std::uint64_t m_revision = 100;
    std::uint16_t m_port = 41000;
};

} // namespace

TEST_CASE_METHOD(RoutingFixture, "no packet is routed before the evacuations are known", "[evacuation]")
{
    makeReady({ server(1, "a") });
    CHECK_FALSE(router.isReady());
    CHECK(open().outcome == StreamOutcome::NotReady);
    evacuate({});
    CHECK(router.isReady());
    CHECK(open().outcome == StreamOutcome::Placed);
}

TEST_CASE_METHOD(RoutingFixture, "with two domains evacuated, all new flows go to the third one until one is withdrawn", "[evacuation]")
{
    makeReady({ server(1, "a"), server(2, "b"), server(3, "c") });
    evacuate({ "a", "b", "unknown" });
    for (int count = 0; count < 20; ++count) {
        CHECK(place() == "c");
    }
    evacuate({ "b" });
    CHECK(place() == "a");
}

TEST_CASE_METHOD(RoutingFixture, "with all domains evacuated, new flows are refused at once and open ones go on", "[evacuation]")
{
    makeReady({ server(1, "a"), server(2, "b") });
    evacuate({});
    const StreamDecision opened = open();
    REQUIRE(opened.action == Action::Forward);
    send(opened.token, 101, 10, 500);
    evacuate({ "a", "b" });
    const StreamDecision refused = open({ client.address(), 40500 });
    CHECK(refused.action == Action::Reset);
    CHECK(refused.outcome == StreamOutcome::Evacuated);
    CHECK(send(opened.token, 111, 10, 500).action == Action::Forward);
}

TEST_CASE_METHOD(RoutingFixture, "a suspected server is no last resort for new flows in an evacuated domain", "[evacuation]")
{
    makeReady({ server(1, "a"), server(2, "b") });
    evacuate({ "b" });
    const StreamDecision first = open();
    REQUIRE(first.server->failureDomain == "a");
    // The client repeats its opening packet, so the only server that may be used is suspected.
    advanceClock(milliseconds(200));
    CHECK(open(client, 1).server->failureDomain == "a");
    advanceClock(milliseconds(400));
    CHECK(open(client, 2).server->failureDomain == "a");
    CHECK(place() == "a");
}

TEST_CASE_METHOD(RoutingFixture, "no copy of an opening packet reaches an evacuated domain", "[evacuation]")
{
    makeReady({ server(1, "a"), server(2, "b") });
    evacuate({ "b" });
    const StreamDecision first = open();
    REQUIRE(first.server->failureDomain == "a");
    SECTION("duplicated by the network")
    {
        evacuate({ "a" });
        const StreamDecision copy = open();
        CHECK(copy.action == Action::Drop);
        CHECK(copy.outcome == StreamOutcome::Evacuated);
    }
    SECTION("sent again by the client")
    {
        evacuate({ "a" });
        advanceClock(milliseconds(200));
        CHECK(open(client, 1).server->failureDomain == "b");
    }
    SECTION("sent again by the client while all domains are evacuated")
    {
        evacuate({ "a", "b" });
        advanceClock(milliseconds(200));
        CHECK(open(client, 1).outcome == StreamOutcome::Evacuated);
    }
    SECTION("delayed until the flow is open")
    {
        send(first.token, 101, 10, 500);
        evacuate({ "a" });
        const StreamDecision copy = open(client, 1);
        CHECK(copy.action == Action::Drop);
        CHECK(copy.outcome == StreamOutcome::Evacuated);
        CHECK(send(first.token, 101, 10, 500).action == Action::Forward);
    }
}

TEST_CASE_METHOD(RoutingFixture, "an earlier attempt of a client leads to no evacuated domain", "[evacuation]")
{
    // The server of the earlier attempt is avoided, and the only other one is in an evacuated domain.
    makeReady({ server(1, "a"), server(2, "b") });
    evacuate({ "b" });
    REQUIRE(open().server->failureDomain == "a");
    advanceClock(milliseconds(1500));
    CHECK(open({ client.address(), static_cast<std::uint16_t>(client.port() + 1) }).server->failureDomain == "a");
    evacuate({ "a", "b" });
    advanceClock(milliseconds(1500));
    CHECK(open({ client.address(), static_cast<std::uint16_t>(client.port() + 2) }).outcome == StreamOutcome::Evacuated);
}

TEST_CASE_METHOD(RoutingFixture, "an instance that was frozen places no flow before it hears of evacuations again", "[evacuation]")
{
    makeReady({ server(1, "a") });
    evacuate({});
    router.tick();
    SECTION("the evacuations were known before")
    {
        advanceClock(milliseconds(20000));
        CHECK(open().outcome == StreamOutcome::NotReady);
        router.tick();
        CHECK(open().outcome == StreamOutcome::NotReady);
        SECTION("from another instance")
        {
            evacuate({ "a" });
            CHECK(open().outcome == StreamOutcome::Evacuated);
        }
        SECTION("unless it is cut off")
        {
            for (int count = 0; count < 10; ++count) {
                advanceClock(milliseconds(100));
                router.tick();
            }
            CHECK(open().outcome == StreamOutcome::Placed);
        }
    }
    SECTION("the store was down before, so that waiting is of no use")
    {
        for (int count = 0; count < 100; ++count) {
            advanceClock(milliseconds(100));
            router.tick();
        }
        advanceClock(milliseconds(300));
        CHECK(open().outcome == StreamOutcome::Placed);
    }
}

TEST_CASE_METHOD(RoutingFixture, "a service without servers is not reported as evacuated", "[evacuation]")
{
    makeReady({});
    evacuate({ "a" });
    CHECK(open().outcome == StreamOutcome::NoServer);
}

TEST_CASE_METHOD(RouterFixture, "evacuations that are off change no decision", "[evacuation]")
{
    makeReady({ server(1, "a") });
    router.evacuations().replaceAll({ { "a", { 0, 1 } } }, { 0, 2 }, clock.now());
    CHECK(open().outcome == StreamOutcome::Placed);
    CHECK(router.viewStatus().evacuationsPosition.isUnset());
}
