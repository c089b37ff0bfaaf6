#include "request/requesttable.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

namespace
{

RequestId makeRequest(std::uint32_t id)
{
    return { Endpoint(0x7f000001, 4000), Endpoint(0x7f000a01, 7000), id };
}

} // namespace

TEST_CASE("a response is accepted only if caller, id, service and server match", "[request][requesttable]")
{
    // Guards invariant 3: a caller gets only the response to its own request.
    const ManualClock clock;
    RequestTable table(4);
    PendingRequest *pending = table.add(makeRequest(1), clock.now());
    REQUIRE(pending);
    pending->server = 7;
    RequestId other = makeRequest(1);
    SECTION("all match")
    {
        CHECK(table.matchResponse(other, 7).value() == pending);
    }
    SECTION("another server")
    {
        CHECK(table.matchResponse(other, 8).error() == ResponseMismatch::WrongServer);
    }
    SECTION("another id")
    {
        CHECK(table.matchResponse(makeRequest(2), 7).error() == ResponseMismatch::NotPending);
    }
    SECTION("another caller")
    {
        other.caller = Endpoint(0x7f000001, 4001);
        CHECK(table.matchResponse(other, 7).error() == ResponseMismatch::NotPending);
    }
    SECTION("another service")
    {
        other.service = Endpoint(0x7f000a02, 7000);
        CHECK(table.matchResponse(other, 7).error() == ResponseMismatch::NotPending);
    }
    SECTION("a second response")
    {
        table.remove(*pending);
        CHECK(table.matchResponse(other, 7).error() == ResponseMismatch::NotPending);
    }
}

TEST_CASE("a request table holds a limited number of requests, each of them once", "[request][requesttable]")
{
    const ManualClock clock;
    RequestTable table(2);
    REQUIRE(table.add(makeRequest(1), clock.now()));
    CHECK_FALSE(table.add(makeRequest(1), clock.now()));
    PendingRequest *second = table.add(makeRequest(2), clock.now());
    CHECK_FALSE(table.add(makeRequest(3), clock.now()));
    table.remove(*second);
    CHECK(table.add(makeRequest(3), clock.now()));
    CHECK(table.size() == 2);
}

TEST_CASE("each request is due once, in the order of the scheduled times", "[request][requesttable]")
{
    // Guards against a timer of a removed request that fires for the next request in the same slot.
    ManualClock clock;
    RequestTable table(3);
    const TimePoint start = clock.now();
    for (std::uint32_t id = 1; id <= 3; ++id) {
        table.schedule(*table.add(makeRequest(id), start), start + std::chrono::milliseconds(40 - 10 * id));
    }
    CHECK_FALSE(table.takeDue(start));
    table.remove(*table.find(makeRequest(3)));
    table.schedule(*table.add(makeRequest(4), start), start + std::chrono::milliseconds(100));
    clock.advance(std::chrono::milliseconds(50));
    CHECK(table.takeDue(clock.now())->request == makeRequest(2));
    CHECK(table.takeDue(clock.now())->request == makeRequest(1));
    CHECK_FALSE(table.takeDue(clock.now()));
    // Many calls of schedule() must not let the timers grow without limit.
    for (int count = 0; count < 1000; ++count) {
        table.schedule(*table.find(makeRequest(4)), clock.now() + std::chrono::milliseconds(count));
    }
    clock.advance(std::chrono::seconds(2));
    CHECK(table.takeDue(clock.now())->request == makeRequest(4));
    CHECK_FALSE(table.takeDue(clock.now()));
}
