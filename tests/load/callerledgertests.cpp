#include "load/callerledger.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

namespace
{

using std::chrono::milliseconds;

class LedgerFixture
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

    CallerAnswer result(std::uint32_t id, std::uint64_t flow) const
    {
        return { id, AnswerKind::Result, profile.service.toString(), "s1", CallerLedger::requestBody(flow, id, profile.bodyBytes), 1 };
    }

    CallerAnswer error(std::uint32_t id, AnswerKind kind) const
    {
        return { id, kind, {}, {}, {}, 0 };
    }

    const CallerProfile profile = makeProfile();
    GroupFigures figures;
    CallerLedger ledger { profile, figures };
    ManualClock clock;
};

} // namespace

TEST_CASE_METHOD(LedgerFixture, "only a whole answer to the own request counts as served", "[load][callerledger]")
{
    // Guards invariants 2 and 3 as the load tool checks them.
    ledger.sent({ .id = 1, .flow = 7, .intended = clock.now() });
    clock.advance(milliseconds(20));
    CallerAnswer answer = result(1, 7);
    SECTION("right answer")
    {
        ledger.answered(7, profile.service, answer, clock.now());
        CHECK(figures.outcomes.served == 1);
        CHECK(figures.servedBy.at("s1") == 1);
        CHECK(figures.shortLatency.quantile(0.5) >= milliseconds(20));
        CHECK(figures.shortLatency.quantile(0.5) <= milliseconds(21));
    }
    SECTION("right answer of a second run")
    {
        answer.runs = 2;
        ledger.answered(7, profile.service, answer, clock.now());
        CHECK(figures.extraRuns == 1);
    }
    SECTION("cut body")
    {
        answer.body.pop_back();
        ledger.answered(7, profile.service, answer, clock.now());
        CHECK(figures.outcomes.failed == 1);
    }
    SECTION("another service in the answer")
    {
        answer.service = "127.10.0.2:7000";
        ledger.answered(7, profile.service, answer, clock.now());
        CHECK(figures.outcomes.wrongService == 1);
    }
    SECTION("another source address")
    {
        ledger.answered(7, Endpoint(0x7f0a0002, 7000), answer, clock.now());
        CHECK(figures.outcomes.wrongService == 1);
    }
    SECTION("another flow")
    {
        ledger.answered(8, profile.service, answer, clock.now());
        CHECK(figures.crossed == 1);
        CHECK(ledger.pending() == 1);
    }
    CHECK(figures.outcomes.total() + ledger.pending() == 1);
}

TEST_CASE_METHOD(LedgerFixture, "refusals are told apart and a result after one is a contradiction", "[load][callerledger]")
{
    // Guards invariant 4: a refusal that says "not run" is true.
    ledger.sent({ .id = 1, .flow = 7, .intended = clock.now() });
    ledger.sent({ .id = 2, .flow = 7, .intended = clock.now() });
    ledger.answered(7, profile.service, error(1, AnswerKind::NotRun), clock.now());
    ledger.answered(7, profile.service, error(2, AnswerKind::Refused), clock.now());
    CHECK(figures.outcomes.notRun == 1);
    CHECK(figures.outcomes.refused == 1);
    ledger.answered(7, profile.service, result(1, 7), clock.now());
    CHECK(figures.contradictions == 1);
    CHECK(figures.duplicates == 1);
    CHECK(figures.outcomes.served == 0);
}

TEST_CASE_METHOD(LedgerFixture, "an unanswered request is repeated within the limit and ends as unknown", "[load][callerledger]")
{
    ledger.sent({ .id = 1, .flow = 7, .intended = clock.now() });
    clock.advance(milliseconds(299));
    CHECK(ledger.takeRepeats(clock.now()).empty());
    clock.advance(milliseconds(1));
    CHECK(ledger.takeRepeats(clock.now()).size() == 1);
    clock.advance(milliseconds(300));
    CHECK(ledger.takeRepeats(clock.now()).empty());
    CHECK(ledger.isBusy(7));
    SECTION("no answer")
    {
        clock.advance(milliseconds(400));
        ledger.expire(clock.now());
        CHECK(figures.outcomes.unknown == 1);
        CHECK(figures.unanswered == 1);
        CHECK_FALSE(ledger.isBusy(7));
        ledger.answered(7, profile.service, result(1, 7), clock.now());
        CHECK(figures.late == 1);
        CHECK(figures.duplicates == 0);
    }
    SECTION("unknown to the repeat, then the result")
    {
        ledger.answered(7, profile.service, error(1, AnswerKind::Unknown), clock.now());
        CHECK(figures.outcomes.unknown == 0);
        ledger.answered(7, profile.service, result(1, 7), clock.now());
        CHECK(figures.outcomes.served == 1);
        ledger.answered(7, profile.service, result(1, 7), clock.now());
        CHECK(figures.duplicates == 1);
    }
}

TEST_CASE_METHOD(LedgerFixture, "a flow whose server changes is a broken flow", "[load][callerledger]")
{
    // Guards invariant 1 as the load tool checks it.
    ledger.seen(7, { "s1", 1 });
    ledger.seen(7, { "s1", 2 });
    ledger.seen(8, { "s2", 1 });
    CHECK(figures.brokenFlows == 0);
    ledger.seen(7, { "s2", 1 });
    CHECK(figures.brokenFlows == 1);
    ledger.forgetFlow(7);
    ledger.seen(7, { "s1", 1 });
    CHECK(figures.brokenFlows == 1);
}
