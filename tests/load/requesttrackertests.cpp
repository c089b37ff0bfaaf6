#include "load/requesttracker.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

namespace
{

using std::chrono::milliseconds;

class TrackerFixture
{
protected:
    static CallerProfile makeProfile()
    {
        CallerProfile profile;
        profile.service = Endpoint(0x7f0a0001, 7000);
        profile.bodyBytes = 32;
        profile.timeout = milliseconds(1000);
        profile.repeatAfter = milliseconds(300);
        profile.repeatLimit = 1;
        return profile;
    }

    CallerResponse result(std::uint32_t id, std::uint64_t flow) const
    {
        return { id, ResponseKind::Result, profile.service.toString(), "s1", RequestTracker::requestBody(flow, id, profile.bodyBytes), 1 };
    }

    CallerResponse error(std::uint32_t id, ResponseKind kind) const
    {
        return { id, kind, {}, {}, {}, 0 };
    }

    const CallerProfile profile = makeProfile();
    GroupStatistics statistics;
    RequestTracker tracker { profile, statistics };
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(
    TrackerFixture, "only a complete response of the right service on the flow of its request counts as served", "[load][requesttracker]")
{
    // Covers the load tool's checks of invariants 2 and 3.
    tracker.recordSent({ .id = 1, .flow = 7, .intendedSendTime = clock.now() });
    clock.advance(milliseconds(20));
    CallerResponse response = result(1, 7);
    SECTION("correct response")
    {
        tracker.recordResponse(7, profile.service, response, clock.now());
        CHECK(statistics.outcomes.served == 1);
        CHECK(statistics.servedBy.at("s1") == 1);
        CHECK(statistics.shortLatency.quantile(0.5) >= milliseconds(20));
        CHECK(statistics.shortLatency.quantile(0.5) <= milliseconds(21));
    }
    SECTION("correct response of a second run")
    {
        response.runs = 2;
        tracker.recordResponse(7, profile.service, response, clock.now());
        CHECK(statistics.extraRuns == 1);
    }
    SECTION("truncated body")
    {
        response.body.pop_back();
        tracker.recordResponse(7, profile.service, response, clock.now());
        CHECK(statistics.outcomes.failed == 1);
    }
    SECTION("another service in the response")
    {
        response.service = "127.10.0.2:7000";
        tracker.recordResponse(7, profile.service, response, clock.now());
        CHECK(statistics.outcomes.wrongService == 1);
    }
    SECTION("another source address")
    {
        tracker.recordResponse(7, Endpoint(0x7f0a0002, 7000), response, clock.now());
        CHECK(statistics.outcomes.wrongService == 1);
    }
    SECTION("another flow")
    {
        tracker.recordResponse(8, profile.service, response, clock.now());
        CHECK(statistics.crossed == 1);
        CHECK(tracker.pending() == 1);
    }
    CHECK(statistics.outcomes.total() + tracker.pending() == 1);
}

TEST_CASE_METHOD(TrackerFixture, "refusals because of overload count separately, and a result after a refusal is a contradiction",
    "[load][requesttracker]")
{
    // Covers the load tool's check of invariant 4: a request that was reported as not run has not run.
    tracker.recordSent({ .id = 1, .flow = 7, .intendedSendTime = clock.now() });
    tracker.recordSent({ .id = 2, .flow = 7, .intendedSendTime = clock.now() });
    tracker.recordResponse(7, profile.service, error(1, ResponseKind::NotRun), clock.now());
    tracker.recordResponse(7, profile.service, error(2, ResponseKind::Refused), clock.now());
    CHECK(statistics.outcomes.notRun == 1);
    CHECK(statistics.outcomes.refused == 1);
    tracker.recordResponse(7, profile.service, result(1, 7), clock.now());
    CHECK(statistics.contradictions == 1);
    CHECK(statistics.duplicates == 1);
    CHECK(statistics.outcomes.served == 0);
}

TEST_CASE_METHOD(TrackerFixture, "an unanswered request is repeated up to the limit and ends as unknown", "[load][requesttracker]")
{
    tracker.recordSent({ .id = 1, .flow = 7, .intendedSendTime = clock.now() });
    clock.advance(milliseconds(299));
    CHECK(tracker.takeDueRepeats(clock.now()).empty());
    clock.advance(milliseconds(1));
    CHECK(tracker.takeDueRepeats(clock.now()).size() == 1);
    clock.advance(milliseconds(300));
    CHECK(tracker.takeDueRepeats(clock.now()).empty());
    CHECK(tracker.hasPendingRequests(7));
    SECTION("no response")
    {
        clock.advance(milliseconds(400));
        tracker.expire(clock.now());
        CHECK(statistics.outcomes.unknown == 1);
        CHECK(statistics.unanswered == 1);
        CHECK_FALSE(tracker.hasPendingRequests(7));
        tracker.recordResponse(7, profile.service, result(1, 7), clock.now());
        CHECK(statistics.late == 1);
        CHECK(statistics.duplicates == 0);
    }
    SECTION("unknown outcome in response to the repeat, then the result")
    {
        tracker.recordResponse(7, profile.service, error(1, ResponseKind::Unknown), clock.now());
        CHECK(statistics.outcomes.unknown == 0);
        tracker.recordResponse(7, profile.service, result(1, 7), clock.now());
        CHECK(statistics.outcomes.served == 1);
        tracker.recordResponse(7, profile.service, result(1, 7), clock.now());
        CHECK(statistics.duplicates == 1);
    }
}

TEST_CASE_METHOD(TrackerFixture, "a flow whose server changes counts as a broken flow", "[load][requesttracker]")
{
    // Covers the load tool's check of invariant 1.
    tracker.recordSeen(7, { "s1", 1 });
    tracker.recordSeen(7, { "s1", 2 });
    tracker.recordSeen(8, { "s2", 1 });
    CHECK(statistics.brokenFlows == 0);
    tracker.recordSeen(7, { "s2", 1 });
    CHECK(statistics.brokenFlows == 1);
    tracker.removeFlow(7);
    tracker.recordSeen(7, { "s1", 1 });
    CHECK(statistics.brokenFlows == 1);
}
