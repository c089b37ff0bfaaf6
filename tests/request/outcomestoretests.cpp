#include "request/outcomestore.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace std::chrono_literals;

namespace
{

RequestId makeRequest(std::uint32_t id)
{
    return { Endpoint(0x7f000001, 4000), Endpoint(0x7f000a01, 7000), id };
}

} // namespace

TEST_CASE("an owner sends a request once within the repeat window", "[request][outcomestore]")
{
    // Guards invariant 5: a non-idempotent request runs at most once.
    ManualClock clock;
    OutcomeStore store(10, 100);
    const std::vector<std::uint8_t> response { 1, 2, 3 };
    REQUIRE(store.addIfNew(makeRequest(1), clock.now() + 10s).status == OutcomeStatus::New);
    CHECK(store.addIfNew(makeRequest(1), clock.now() + 10s).status == OutcomeStatus::Unknown);
    store.storeResponse(makeRequest(1), response);
    const OutcomeLookup repeated = store.addIfNew(makeRequest(1), clock.now() + 10s);
    CHECK(repeated.status == OutcomeStatus::Answered);
    CHECK(std::vector<std::uint8_t>(repeated.response.begin(), repeated.response.end()) == response);
    clock.advance(10s);
    store.expire(clock.now());
    CHECK(store.size() == 0);
    CHECK(store.bytes() == 0);
}

TEST_CASE("a store at its memory limit drops responses but never requests", "[request][outcomestore]")
{
    ManualClock clock;
    OutcomeStore store(2, 4);
    const std::vector<std::uint8_t> response { 1, 2, 3 };
    for (std::uint32_t id = 1; id <= 2; ++id) {
        REQUIRE(store.addIfNew(makeRequest(id), clock.now() + 10s).status == OutcomeStatus::New);
        store.storeResponse(makeRequest(id), response);
    }
    CHECK(store.find(makeRequest(1)).status == OutcomeStatus::Answered);
    CHECK(store.find(makeRequest(2)).status == OutcomeStatus::Unknown);
    CHECK(store.addIfNew(makeRequest(3), clock.now() + 10s).status == OutcomeStatus::Full);
}

TEST_CASE("a request that did not run may be sent again and keeps its own repeat window", "[request][outcomestore]")
{
    // Guards against an expiry of the first attempt that removes the second one too early.
    ManualClock clock;
    OutcomeStore store(2, 4);
    store.addIfNew(makeRequest(1), clock.now() + 10s);
    store.remove(makeRequest(1));
    clock.advance(5s);
    CHECK(store.addIfNew(makeRequest(1), clock.now() + 10s).status == OutcomeStatus::New);
    clock.advance(6s);
    store.expire(clock.now());
    CHECK(store.find(makeRequest(1)).status == OutcomeStatus::Unknown);
}
