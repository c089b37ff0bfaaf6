#include "request/requesttable.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

namespace
{

RequestId requestOf(std::uint32_t id)
{
    return { Endpoint(0x7f000001, 4000), Endpoint(0x7f000a01, 7000), id };
}

} // namespace

TEST_CASE("an answer is delivered only if caller, id, service and server match", "[request][requesttable]")
{
    // Guards invariant 3 against crossed answers.
    const ManualClock clock;
    RequestTable table(4);
    PendingRequest *pending = table.add(requestOf(1), clock.now());
    REQUIRE(pending);
    pending->server = 7;
    RequestId other = requestOf(1);
    SECTION("all match")
    {
        CHECK(table.match(other, 7).value() == pending);
    }
    SECTION("another server")
    {
        CHECK(table.match(other, 8).error() == AnswerFault::WrongServer);
    }
    SECTION("another id")
    {
        CHECK(table.match(requestOf(2), 7).error() == AnswerFault::NotPending);
    }
    SECTION("another caller")
    {
        other.caller = Endpoint(0x7f000001, 4001);
        CHECK(table.match(other, 7).error() == AnswerFault::NotPending);
    }
    SECTION("another service")
    {
        other.service = Endpoint(0x7f000a02, 7000);
        CHECK(table.match(other, 7).error() == AnswerFault::NotPending);
    }
    SECTION("a second answer")
    {
        table.remove(*pending);
        CHECK(table.match(other, 7).error() == AnswerFault::NotPending);
    }
}

TEST_CASE("a request table holds a bounded number of requests once each", "[request][requesttable]")
{
    const ManualClock clock;
    RequestTable table(2);
    REQUIRE(table.add(requestOf(1), clock.now()));
    CHECK_FALSE(table.add(requestOf(1), clock.now()));
    PendingRequest *second = table.add(requestOf(2), clock.now());
    CHECK_FALSE(table.add(requestOf(3), clock.now()));
    table.remove(*second);
    CHECK(table.add(requestOf(3), clock.now()));
    CHECK(table.size() == 2);
}

TEST_CASE("requests come due once, in the order of their times", "[request][requesttable]")
{
    // Guards against a timer of a removed request that hits the next user of its slot.
    ManualClock clock;
    RequestTable table(3);
    const TimePoint start = clock.now();
    for (std::uint32_t id = 1; id <= 3; ++id) {
        table.schedule(*table.add(requestOf(id), start), start + std::chrono::milliseconds(40 - 10 * id));
    }
    CHECK_FALSE(table.due(start));
    table.remove(*table.find(requestOf(3)));
    table.schedule(*table.add(requestOf(4), start), start + std::chrono::milliseconds(100));
    clock.advance(std::chrono::milliseconds(50));
    CHECK(table.due(clock.now())->request == requestOf(2));
    CHECK(table.due(clock.now())->request == requestOf(1));
    CHECK_FALSE(table.due(clock.now()));
    // Many reschedules must not let the timers grow without bound.
    for (int count = 0; count < 1000; ++count) {
        table.schedule(*table.find(requestOf(4)), clock.now() + std::chrono::milliseconds(count));
    }
    clock.advance(std::chrono::seconds(2));
    CHECK(table.due(clock.now())->request == requestOf(4));
    CHECK_FALSE(table.due(clock.now()));
}
