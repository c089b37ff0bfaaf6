#include "stream/flowtracker.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr Endpoint service { 0xc6120001, 443 };
constexpr std::uint32_t server = 7;

class TrackerFixture
{
public:
    static Endpoint client(std::uint16_t number)
    {
        return { 0x64400007, number };
    }

    StreamPacket data(std::uint16_t from, std::uint32_t sequence, std::uint16_t length, std::uint32_t acknowledgement) const
    {
        return { .client = client(from), .service = service, .length = length, .sequence = sequence, .acknowledgement = acknowledgement };
    }

    void openFlow(std::uint16_t number, std::uint32_t token = server)
    {
        tracker.recordOpening({ .client = client(number), .service = service, .opens = true }, token, now);
        tracker.recordPacket(data(number, 1, 0, 50), token, now);
    }

    FlowTracker tracker { 100 };
    TimePoint now = TimePoint() + seconds(100);
};

} // namespace

TEST_CASE_METHOD(TrackerFixture, "flows and unanswered requests count towards the load of their server", "[stream][flowtracker]")
{
    openFlow(1);
    openFlow(2);
    CHECK(tracker.flowCountsOf(server).recent == 2);
    tracker.recordPacket(data(1, 1, 900, 50), server, now);
    CHECK(tracker.flowCountsOf(server).awaitingResponse == 1);
    const PacketObservation response = tracker.recordPacket(data(1, 901, 0, 4050), server, now + milliseconds(40));
    CHECK(response.serverResponded);
    CHECK(response.responseTime == std::optional<std::chrono::nanoseconds>(milliseconds(40)));
    CHECK(tracker.flowCountsOf(server).awaitingResponse == 0);
    tracker.remove(client(1), service);
    tracker.remove(client(2), service);
    CHECK(tracker.flowCounts().empty());
}

TEST_CASE_METHOD(
    TrackerFixture, "repeated data is a retransmission after a while, and none if the network has duplicated it", "[stream][flowtracker]")
{
    openFlow(1);
    tracker.recordPacket(data(1, 1, 900, 50), server, now);
    CHECK_FALSE(tracker.recordPacket(data(1, 1, 900, 50), server, now + milliseconds(2)).retransmitted);
    CHECK(tracker.recordPacket(data(1, 1, 900, 50), server, now + milliseconds(200)).retransmitted);
    CHECK_FALSE(tracker.recordPacket(data(1, 1, 900, 50), server, now + milliseconds(202)).retransmitted);
    CHECK(tracker.recordPacket(data(1, 1, 900, 50), server, now + milliseconds(600)).retransmitted);
}

TEST_CASE_METHOD(TrackerFixture, "sequence and acknowledgement numbers wrap around", "[stream][flowtracker]")
{
    openFlow(1);
    tracker.recordPacket(data(1, 0xffffff00, 0, 0xffffffff), server, now);
    tracker.remove(client(1), service);
    tracker.recordPacket(data(1, 0xffffff00, 0, 0xffffff00), server, now);
    tracker.recordPacket(data(1, 0xffffff00, 900, 0xffffff00), server, now);
    CHECK(tracker.recordPacket(data(1, 0x284, 0, 0x10), server, now + milliseconds(30)).serverResponded);
}

TEST_CASE_METHOD(TrackerFixture, "idle flows stop counting as load before they are forgotten", "[stream][flowtracker]")
{
    openFlow(1);
    now += seconds(6);
    openFlow(2);
    tracker.expire(now, seconds(15));
    CHECK(tracker.flowCountsOf(server).recent == 1);
    CHECK(tracker.size() == 2);
    tracker.recordPacket(data(1, 1, 0, 50), server, now);
    CHECK(tracker.flowCountsOf(server).recent == 2);
    now += seconds(16);
    tracker.expire(now, seconds(15));
    CHECK(tracker.size() == 0);
    CHECK(tracker.flowCounts().empty());
}

TEST_CASE_METHOD(
    TrackerFixture, "a flow that the client has finished no longer counts as load, even if more packets arrive", "[stream][flowtracker]")
{
    openFlow(1);
    StreamPacket finish = data(1, 1, 0, 50);
    finish.finishes = true;
    tracker.recordPacket(finish, server, now);
    tracker.recordPacket(data(1, 2, 0, 90), server, now);
    CHECK(tracker.flowCountsOf(server).recent == 0);
    CHECK(tracker.size() == 1);
}

TEST_CASE_METHOD(TrackerFixture, "a flow is counted for the server that the token of its packets names", "[stream][flowtracker]")
{
    openFlow(1, 7);
    tracker.recordPacket(data(1, 1, 900, 50), 8, now);
    CHECK(tracker.flowCountsOf(7).recent == 0);
    CHECK(tracker.flowCountsOf(8).recent == 1);
    CHECK(tracker.flowCountsOf(8).awaitingResponse == 1);
}

TEST_CASE_METHOD(TrackerFixture, "the open flows of an ended server are returned only once", "[stream][flowtracker]")
{
    openFlow(1);
    openFlow(2, 8);
    tracker.recordOpening({ .client = client(3), .service = service, .opens = true }, server, now);
    const auto isOfServer = [](const StreamFlow &flow) { return flow.token == server; };
    const std::vector<StreamFlow> ended = tracker.endMatching(isOfServer, now);
    REQUIRE(ended.size() == 1);
    CHECK(ended.front().client == client(1));
    CHECK(ended.front().acknowledged == 50);
    CHECK(tracker.endMatching(isOfServer, now).empty());
    // The ended flow no longer counts as load, and expires like an idle one.
    CHECK(tracker.flowCountsOf(server).recent == 1);
    CHECK(tracker.flowCountsOf(server).awaitingResponse == 0);
    CHECK(tracker.flowCountsOf(8).recent == 1);
    tracker.expire(now + seconds(15), seconds(15));
    CHECK(tracker.size() == 0);
    CHECK(tracker.flowCounts().empty());
}

TEST_CASE_METHOD(
    TrackerFixture, "a response that arrives in time is never overdue, and a late one is reported once", "[stream][flowtracker]")
{
    std::vector<std::uint32_t> overdue;
    const auto report = [&overdue](std::uint32_t token) { overdue.push_back(token); };
    openFlow(1);
    openFlow(2, 8);
    tracker.recordPacket(data(1, 1, 900, 50), server, now);
    tracker.recordPacket(data(2, 1, 900, 50), 8, now);
    tracker.recordPacket(data(1, 901, 0, 4050), server, now + milliseconds(30));
    tracker.checkOverdue(now + milliseconds(80), report);
    CHECK(overdue.empty());
    tracker.checkOverdue(now + milliseconds(100), report);
    CHECK(overdue == std::vector<std::uint32_t> { 8 });
    tracker.checkOverdue(now + milliseconds(500), report);
    CHECK(overdue.size() == 1);
}

TEST_CASE_METHOD(TrackerFixture, "flows above the limit of the table get no entry", "[stream][flowtracker]")
{
    for (std::uint16_t number = 0; number < 100; ++number) {
        openFlow(number);
    }
    CHECK_FALSE(tracker.recordOpening({ .client = client(200), .service = service, .opens = true }, server, now));
    CHECK_FALSE(tracker.recordPacket(data(200, 1, 900, 50), server, now).serverResponded);
    CHECK(tracker.size() == 100);
}

TEST_CASE_METHOD(
    TrackerFixture, "a packet with other numbers and another server starts a new flow at the same port", "[stream][flowtracker]")
{
    // If another instance opens the next flow of a port, the entry of the earlier one would make it look older than a failure of its
    // server, and it would be reset.
    openFlow(1, 7);
    StreamPacket last = data(1, 1, 900, 50);
    last.finishes = true;
    tracker.recordPacket(last, 7, now);
    now += seconds(5);
    const PacketObservation observation = tracker.recordPacket(data(1, 5'000'000, 0, 9'000'000), 8, now);
    CHECK_FALSE(observation.serverResponded);
    CHECK_FALSE(observation.responseTime.has_value());
    const StreamFlow *const flow = tracker.find(client(1), service);
    REQUIRE(flow != nullptr);
    CHECK(flow->token == 8);
    CHECK(flow->open);
    CHECK(flow->openSince == now);
    CHECK(flow->acknowledged == 9'000'000);
    CHECK(flow->nextSequence == 5'000'000);
    CHECK_FALSE(flow->awaitingResponse);
    CHECK_FALSE(flow->finished);
    CHECK(tracker.size() == 1);
    CHECK(tracker.flowCounts().size() == 1);
    CHECK(tracker.flowCountsOf(8).recent == 1);
    // Numbers within the window belong to the same flow, even if its server has another token now.
    tracker.recordPacket(data(1, 5'000'000, 900, 9'076'800), 9, now + seconds(1));
    REQUIRE(tracker.find(client(1), service) != nullptr);
    CHECK(tracker.find(client(1), service)->token == 9);
    CHECK(tracker.find(client(1), service)->openSince == now);
}

TEST_CASE_METHOD(TrackerFixture, "a new flow at the port of an ended one is not ended", "[stream][flowtracker]")
{
    openFlow(1, 7);
    REQUIRE(tracker.endMatching([](const StreamFlow &) { return true; }, now).size() == 1);
    tracker.recordPacket(data(1, 5'000'000, 900, 9'000'000), 8, now + seconds(1));
    CHECK_FALSE(tracker.find(client(1), service)->ended);
    CHECK(tracker.endMatching([](const StreamFlow &) { return true; }, now).size() == 1);
}

TEST_CASE_METHOD(TrackerFixture, "a new flow at the port of a closed one counts as load, also at the same server", "[stream][flowtracker]")
{
    // Guards against flows without load and with the age of an earlier flow, whose opening packets went through other instances.
    openFlow(1, 7);
    StreamPacket last = data(1, 1, 900, 50);
    last.finishes = true;
    tracker.recordPacket(last, 7, now);
    REQUIRE(tracker.flowCountsOf(7).recent == 0);
    // Late packets of the closed flow don't open it again.
    tracker.recordPacket(data(1, 1, 900, 90), 7, now + seconds(1));
    CHECK(tracker.find(client(1), service)->finished);
    now += seconds(8);
    tracker.recordPacket(data(1, 5'000'000, 0, 9'000'000), 7, now);
    const StreamFlow *const flow = tracker.find(client(1), service);
    REQUIRE(flow != nullptr);
    CHECK_FALSE(flow->finished);
    CHECK(flow->openSince == now);
    CHECK(tracker.flowCountsOf(7).recent == 1);
}

TEST_CASE_METHOD(TrackerFixture, "an opening packet belongs to a flow only with its number and in time", "[stream][flowtracker]")
{
    // Guards against new flows that are taken for copies of the flow that used their port before.
    const auto opening = [](std::uint32_t sequence) {
        return StreamPacket { .client = client(1), .service = service, .opens = true, .sequence = sequence };
    };
    const auto mayOpen = [&](std::uint32_t sequence, std::chrono::milliseconds later) {
        return FlowTracker::mayOpen(opening(sequence), *tracker.find(client(1), service), now + later);
    };
    SECTION("a flow that has not opened yet")
    {
        tracker.recordOpening(opening(0xffffffff), server, now);
        CHECK(mayOpen(0xffffffff, milliseconds(600)));
        CHECK_FALSE(mayOpen(0xfffffffe, milliseconds(600)));
        CHECK_FALSE(mayOpen(0xffffffff, milliseconds(2001)));
    }
    SECTION("an open flow")
    {
        tracker.recordOpening(opening(0xffffffff), server, now);
        tracker.recordPacket(data(1, 0, 900, 50), server, now);
        CHECK(mayOpen(0xffffffff, milliseconds(2000)));
        CHECK_FALSE(mayOpen(0, milliseconds(100)));
        CHECK_FALSE(mayOpen(0xffffffff, milliseconds(2001)));
    }
    SECTION("a flow that another instance opened")
    {
        tracker.recordPacket(data(1, 100, 900, 50), server, now);
        CHECK(mayOpen(99, milliseconds(2000)));
        CHECK(mayOpen(0xfffffff0, milliseconds(100)));
        CHECK_FALSE(mayOpen(5'000, milliseconds(100)));
        CHECK_FALSE(mayOpen(100'000'000, milliseconds(100)));
        CHECK_FALSE(mayOpen(99, milliseconds(2001)));
        StreamPacket last = data(1, 1000, 0, 50);
        last.finishes = true;
        tracker.recordPacket(last, server, now);
        CHECK_FALSE(mayOpen(99, milliseconds(100)));
    }
}

TEST_CASE_METHOD(TrackerFixture, "a flow that both ends have closed is not returned as open", "[stream][flowtracker]")
{
    // Guards against resets for closed flows, which reach the client's next flow from the same port, at another server.
    const auto all = [](const StreamFlow &) { return true; };
    openFlow(1);
    openFlow(2);
    StreamPacket last = data(1, 1, 900, 50);
    last.finishes = true;
    tracker.recordPacket(last, server, now);
    SECTION("the client has sent its last data long ago")
    {
        now += milliseconds(1600);
        const std::vector<StreamFlow> open = tracker.endMatching(all, now);
        REQUIRE(open.size() == 1);
        CHECK(open.front().client == client(2));
    }
    SECTION("the client has sent its last data long ago, and the entry is removed")
    {
        now += milliseconds(1600);
        const std::vector<StreamFlow> open = tracker.removeMatching(all, now);
        REQUIRE(open.size() == 1);
        CHECK(open.front().client == client(2));
        CHECK(tracker.size() == 0);
    }
    SECTION("the client may still wait for the response")
    {
        now += milliseconds(1599);
        CHECK(tracker.endMatching(all, now).size() == 2);
    }
    SECTION("the client still acknowledges the response")
    {
        now += milliseconds(1500);
        tracker.recordPacket(data(1, 901, 0, 5050), server, now);
        now += milliseconds(1500);
        CHECK(tracker.removeMatching(all, now).size() == 2);
    }
}
