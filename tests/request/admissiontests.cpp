#include "core/random.h"
#include "request/admissionqueue.h"
#include "request/retrybudget.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Samphirepitch;
using namespace std::chrono_literals;

namespace
{

QueuedRequest makeRequest(std::uint32_t id, TimePoint deadline)
{
    return { .request = { Endpoint(1, 1), Endpoint(2, 2), id }, .deadline = deadline };
}

} // namespace

TEST_CASE("a queue refuses at once a request beyond its limit or one that can't start in time", "[request][admissionqueue]")
{
    // Guards against requests that wait in the queue until their deadline passes.
    const ManualClock clock;
    SeededRandom random(20261204);
    AdmissionQueue queue;
    queue.setLimits(3, 1);
    SECTION("by count, with a retry time that has jitter and grows with the queue")
    {
        for (std::uint32_t id = 0; id < 3; ++id) {
            REQUIRE(queue.push(makeRequest(id, clock.now() + 1s), clock.now(), random));
        }
        std::set<std::chrono::milliseconds> times;
        for (std::uint32_t id = 3; id < 23; ++id) {
            const auto refused = queue.push(makeRequest(id, clock.now() + 1s), clock.now(), random);
            REQUIRE_FALSE(refused.has_value());
            CHECK(refused.error().reason == RefusalReason::QueueFull);
            CHECK(refused.error().retryAfter >= 40ms);
            times.insert(refused.error().retryAfter);
        }
        CHECK(times.size() > 5);
    }
    SECTION("by deadline")
    {
        for (int count = 0; count < 100; ++count) {
            queue.recordServiceTime(500ms);
        }
        REQUIRE(queue.push(makeRequest(1, clock.now() + 1s), clock.now(), random));
        const auto refused = queue.push(makeRequest(2, clock.now() + 900ms), clock.now(), random);
        REQUIRE_FALSE(refused.has_value());
        CHECK(refused.error().reason == RefusalReason::DeadlineTooShort);
    }
}

TEST_CASE("waiting requests are taken in order, and expired ones separately", "[request][admissionqueue]")
{
    ManualClock clock;
    SeededRandom random(1);
    AdmissionQueue queue;
    queue.setLimits(10, 4);
    REQUIRE(queue.push(makeRequest(1, clock.now() + 50ms), clock.now(), random));
    REQUIRE(queue.push(makeRequest(2, clock.now() + 500ms), clock.now(), random));
    CHECK_FALSE(queue.takeExpired(clock.now()));
    clock.advance(60ms);
    CHECK(queue.take(clock.now())->request.id == 2);
    CHECK(queue.takeExpired(clock.now())->request.id == 1);
    CHECK(queue.size() == 0);
}

TEST_CASE("retries stay within the percentage of requests", "[request][retrybudget]")
{
    RetryBudget budget(10);
    CHECK_FALSE(budget.takeRetry());
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.recordRequest();
        retries += budget.takeRetry() ? 1 : 0;
    }
    CHECK(retries == 100);
}
