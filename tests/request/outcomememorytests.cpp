#include "request/outcomememory.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace std::chrono_literals;

namespace
{

RequestId requestOf(std::uint32_t id)
{
    return { Endpoint(0x7f000001, 4000), Endpoint(0x7f000a01, 7000), id };
}

} // namespace

TEST_CASE("an owner sends a request once within the repeat window", "[request][outcomememory]")
{
    // Guards invariant 5.
    ManualClock clock;
    OutcomeMemory memory(10, 100);
    const std::vector<std::uint8_t> answer { 1, 2, 3 };
    REQUIRE(memory.begin(requestOf(1), clock.now() + 10s).memory == RequestMemory::New);
    CHECK(memory.begin(requestOf(1), clock.now() + 10s).memory == RequestMemory::Unknown);
    memory.answered(requestOf(1), answer);
    const Recollection repeated = memory.begin(requestOf(1), clock.now() + 10s);
    CHECK(repeated.memory == RequestMemory::Answered);
    CHECK(std::vector<std::uint8_t>(repeated.answer.begin(), repeated.answer.end()) == answer);
    clock.advance(10s);
    memory.expire(clock.now());
    CHECK(memory.size() == 0);
    CHECK(memory.bytes() == 0);
}

TEST_CASE("a full memory drops answers but never keys", "[request][outcomememory]")
{
    ManualClock clock;
    OutcomeMemory memory(2, 4);
    const std::vector<std::uint8_t> answer { 1, 2, 3 };
    for (std::uint32_t id = 1; id <= 2; ++id) {
        REQUIRE(memory.begin(requestOf(id), clock.now() + 10s).memory == RequestMemory::New);
        memory.answered(requestOf(id), answer);
    }
    CHECK(memory.recall(requestOf(1)).memory == RequestMemory::Answered);
    CHECK(memory.recall(requestOf(2)).memory == RequestMemory::Unknown);
    CHECK(memory.begin(requestOf(3), clock.now() + 10s).memory == RequestMemory::Full);
}

TEST_CASE("a request that did not run may be sent again and keeps its own window", "[request][outcomememory]")
{
    // Guards against an expiry of the first send that forgets the second one too early.
    ManualClock clock;
    OutcomeMemory memory(2, 4);
    memory.begin(requestOf(1), clock.now() + 10s);
    memory.forget(requestOf(1));
    clock.advance(5s);
    CHECK(memory.begin(requestOf(1), clock.now() + 10s).memory == RequestMemory::New);
    clock.advance(6s);
    memory.expire(clock.now());
    CHECK(memory.recall(requestOf(1)).memory == RequestMemory::Unknown);
}
