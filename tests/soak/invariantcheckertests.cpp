#include "soak/invariantchecker.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch::Soak;

using std::chrono::milliseconds;

namespace
{

using Time = InvariantChecker::Time;

constexpr milliseconds slack { 250 };
const Time appliedAt = Time() + milliseconds(5000);
const Time neverDue = Time::max();

} // namespace

TEST_CASE("a process that goes back to an older configuration violates an invariant", "[soak][invariantchecker]")
{
    // Guards against a soak that passes although an instance took an older configuration from a store that had lost the newer one.
    InvariantChecker checker;
    checker.recordAppliedVersion("entry-1", 5, appliedAt);
    CHECK(checker.appliedVersion("entry-1") == 5);

    SECTION("within the slack")
    {
        checker.recordOlderVersion("entry-1", 5, appliedAt + slack, neverDue, slack);
        CHECK(checker.violations().empty());
    }
    SECTION("after the slack")
    {
        checker.recordOlderVersion("entry-1", 5, appliedAt + slack + milliseconds(1), neverDue, slack);
        CHECK(checker.violations().size() == 1);
    }
    SECTION("as seen by a flow for a version below the applied one")
    {
        checker.recordOlderVersion("entry-1", 4, appliedAt + milliseconds(1000), neverDue, slack);
        CHECK(checker.violations().size() == 1);
    }
    SECTION("after an older version was seen last")
    {
        checker.recordAppliedVersion("entry-1", 3, appliedAt + milliseconds(500));
        CHECK(checker.appliedVersion("entry-1") == 5);
        checker.recordOlderVersion("entry-1", 5, appliedAt + milliseconds(1000), neverDue, slack);
        CHECK(checker.violations().size() == 1);
    }
    SECTION("each kind of violation is reported once")
    {
        checker.recordOlderVersion("entry-1", 5, appliedAt + milliseconds(1000), neverDue, slack);
        checker.recordOlderVersion("entry-1", 5, appliedAt + milliseconds(2000), neverDue, slack);
        CHECK(checker.violations().size() == 1);
    }
}

TEST_CASE("a process that never applied a configuration may have an older one until it is due", "[soak][invariantchecker]")
{
    // Guards against a soak that passes although an instance ignores the configurations of a store whose revisions went back.
    InvariantChecker checker;
    checker.recordAppliedVersion("entry-1", 4, appliedAt);
    checker.recordAppliedVersion("entry-2", 5, appliedAt);
    const Time dueAt = appliedAt + milliseconds(3000);
    checker.recordOlderVersion("entry-1", 5, dueAt, dueAt, slack);
    CHECK(checker.violations().empty());
    checker.recordOlderVersion("entry-1", 5, dueAt + milliseconds(1), dueAt, slack);
    CHECK(checker.violations().size() == 1);
}

TEST_CASE("a new flow in an evacuated domain violates an invariant once the evacuation had to be known", "[soak][invariantchecker]")
{
    // Guards against a soak that passes although an instance ignores evacuations, or that blames it for a fault of the store.
    InvariantChecker checker;
    const Time begunAt = Time() + milliseconds(10000);
    const auto record = [&](milliseconds afterBegin, Time disturbedAt) {
        checker.recordFlowInEvacuatedDomain("i-1", "d0", begunAt + afterBegin, begunAt, disturbedAt);
        return checker.violations().size();
    };
    CHECK(record(milliseconds(5000), Time()) == 0);
    CHECK(record(milliseconds(5001), begunAt + milliseconds(1)) == 0);
    CHECK(record(milliseconds(5002), begunAt + milliseconds(1)) == 1);
    CHECK(record(milliseconds(5001), Time()) == 1); // reported once for each server
}

TEST_CASE("a new flow on a removed route violates an invariant once the removal is due", "[soak][invariantchecker]")
{
    // Guards against a soak that passes although an instance goes on to serve a route that was removed.
    InvariantChecker checker;
    checker.recordFlowOnRemovedRoute("i-1", appliedAt, appliedAt - milliseconds(3000), appliedAt);
    CHECK(checker.violations().empty());
    checker.recordFlowOnRemovedRoute("i-1", appliedAt + milliseconds(1), appliedAt - milliseconds(3000), appliedAt);
    CHECK(checker.violations().size() == 1);
}
