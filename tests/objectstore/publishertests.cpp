#include "fakes/await.h"
#include "fakes/fakeplatform.h"
#include "fakes/faketimer.h"
#include "model/sampleset.h"
#include "objectstore/publisher.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

namespace
{

constexpr std::chrono::seconds timeout { 10 };

ConfigSet setWithRegion(const std::string &region)
{
    ConfigSet::Fields fields = sampleFields();
    fields.failureDomains[0] = FailureDomain({ "okene", region });
    return ConfigSet(fields);
}

struct Operator {
    ManualClock clock;
    FakeTimer timer { clock };
    SeededRandom random { 20261204 };
    FakePlatform platform { clock };
    Publisher publisher { platform, clock, timer, random };

    ApplyOutcome apply(const std::string &region, const std::string &change, std::optional<std::uint64_t> expected = {})
    {
        ApplyRequest request;
        request.set = setWithRegion(region);
        request.expectedGeneration = expected;
        request.changeId = change;
        request.author = "bola";
        request.deadline = clock.now() + timeout;
        return await(publisher.apply(request));
    }

    ApplyOutcome repeat(const std::string &region, const std::string &change)
    {
        ApplyRequest request;
        request.set = setWithRegion(region);
        request.changeId = change;
        request.mayBeRepeated = true;
        request.deadline = clock.now() + timeout;
        return await(publisher.apply(request));
    }

    std::string headChange()
    {
        return await(publisher.history(1, clock.now() + timeout))->at(0).changeId();
    }

    std::size_t writes() const
    {
        return static_cast<std::size_t>(
            std::count_if(platform.calls.begin(), platform.calls.end(), [](const auto &call) { return call.operation == "write"; }));
    }

    /** Lets the first @p count writes of "head" fail. */
    void failHead(Fault fault, int count)
    {
        platform.fault = [fault, count](const FakePlatform::Call &call) mutable {
            return call.operation == "write" && call.key == "head" && count-- > 0 ? fault : Fault::None;
        };
    }
};

} // namespace

TEST_CASE("a change becomes the next generation", "[objectstore][publisher]")
{
    Operator op;
    const auto first = op.apply("kogi", "c-1");
    CHECK(first.status == ApplyStatus::Accepted);
    CHECK(first.generation == 1);
    CHECK(op.apply("kwara", "c-2").generation == 2);

    SECTION("and writes one leaf, one index, the record and the head")
    {
        op.platform.calls.clear();
        CHECK(op.apply("fct", "c-3").status == ApplyStatus::Accepted);
        CHECK(op.writes() == 4);
    }
    SECTION("and can be read back whole")
    {
        ConfigLoader loader(op.platform, op.clock, op.timer, op.random);
        const auto records = await(op.publisher.history(10, op.clock.now() + timeout));
        REQUIRE(records->size() == 2);
        CHECK(records->at(0).author() == "bola");
        CHECK(await(loader.set(records->at(0), op.clock.now() + timeout)) == setWithRegion("kwara"));
    }
    SECTION("and the same content again writes nothing")
    {
        op.platform.calls.clear();
        CHECK(op.apply("kwara", "c-3").status == ApplyStatus::Unchanged);
        CHECK(op.writes() == 0);
    }
    SECTION("and is found by its change id")
    {
        CHECK(await(op.publisher.findChange("c-1", op.clock.now() + timeout))->generation() == 1);
        CHECK(await(op.publisher.findChange("c-9", op.clock.now() + timeout)).error().kind() == ErrorKind::NotFound);
    }
}

TEST_CASE("a set with errors is not published", "[objectstore][publisher]")
{
    Operator op;
    const auto outcome = op.apply("Not A Region", "c-1");
    CHECK(outcome.status == ApplyStatus::NotAccepted);
    CHECK(outcome.error->kind() == ErrorKind::Rejected);
    CHECK(outcome.findings.size() == 1);
    CHECK(op.platform.calls.empty());
}

TEST_CASE("a lost answer of the head write is resolved", "[objectstore][publisher]")
{
    Operator op;
    op.apply("kogi", "c-1");
    SECTION("as accepted if the write took effect")
    {
        op.failHead(Fault::LoseResponse, 1);
        const auto outcome = op.apply("kwara", "c-2");
        CHECK(outcome.status == ApplyStatus::Accepted);
        CHECK(outcome.generation == 2);
    }
    SECTION("as accepted by a second write if it did not take effect")
    {
        op.failHead(Fault::LoseRequest, 1);
        CHECK(op.apply("kwara", "c-2").status == ApplyStatus::Accepted);
        CHECK(op.headChange() == "c-2");
    }
    SECTION("as accepted although other changes follow it")
    {
        // Guards against comparing with the newest record only, which would call an accepted change lost.
        Operator *other = &op;
        bool lost = false;
        op.platform.fault = [&lost, other](const FakePlatform::Call &call) {
            if (call.operation == "write" && call.key == "head" && !lost) {
                lost = true;
                return Fault::LoseResponse;
            }
            if (call.operation == "read" && call.key == "head" && lost) {
                other->platform.fault = nullptr;
                other->apply("fct", "c-3");
            }
            return Fault::None;
        };
        const auto outcome = op.apply("kwara", "c-2");
        CHECK(outcome.status == ApplyStatus::Accepted);
        CHECK(outcome.generation == 2);
        CHECK(op.headChange() == "c-3");
    }
    SECTION("as a conflict if another change won")
    {
        op.failHead(Fault::LoseRequest, 1);
        op.platform.beforeHeadWrite = [&op] {
            const auto fault = std::exchange(op.platform.fault, nullptr);
            op.apply("fct", "c-3");
            op.platform.fault = fault;
        };
        const auto outcome = op.apply("kwara", "c-2");
        CHECK(outcome.status == ApplyStatus::Conflict);
        CHECK(outcome.winner->changeId() == "c-3");
    }
    SECTION("as unknown if the platform stays away, and the change id answers later")
    {
        bool lost = false;
        op.platform.fault = [&lost](const FakePlatform::Call &call) {
            if (lost) {
                return Fault::Outage;
            }
            lost = call.operation == "write" && call.key == "head";
            return lost ? Fault::LoseResponse : Fault::None;
        };
        CHECK(op.apply("kwara", "c-2").status == ApplyStatus::Unknown);
        op.platform.fault = nullptr;
        CHECK(await(op.publisher.findChange("c-2", op.clock.now() + timeout))->generation() == 2);
        CHECK(op.apply("fct", "c-3").generation == 3);
        // Repeating the call must not undo the change that came after it.
        CHECK(op.repeat("kwara", "c-2").generation == 2);
        CHECK(op.headChange() == "c-3");
    }
}

TEST_CASE("of two racing operators one wins and the other is told who", "[objectstore][publisher]")
{
    Operator op;
    op.apply("kogi", "c-1");
    op.platform.beforeHeadWrite = [&op] { op.apply("fct", "c-3"); };
    const auto outcome = op.apply("kwara", "c-2");
    CHECK(outcome.status == ApplyStatus::Conflict);
    CHECK(outcome.winner->generation() == 2);
    CHECK(outcome.winner->author() == "bola");
    CHECK(op.headChange() == "c-3");

    SECTION("also if the race was over before the call")
    {
        const auto late = op.apply("kwara", "c-4", 1);
        CHECK(late.status == ApplyStatus::Conflict);
        CHECK(late.winner->changeId() == "c-3");
    }
    SECTION("and a change expected on the current generation is accepted")
    {
        CHECK(op.apply("kwara", "c-4", 2).generation == 3);
    }
    SECTION("and a generation that does not exist yet is refused")
    {
        CHECK(op.apply("kwara", "c-4", 9).status == ApplyStatus::NotAccepted);
    }
}

TEST_CASE("an outage in any step before the head is written is reported as not accepted", "[objectstore][publisher]")
{
    // Guards against "unknown" or "accepted" where nothing can have taken effect.
    Operator counting;
    counting.apply("kogi", "c-1");
    counting.platform.calls.clear();
    counting.apply("kwara", "c-2");
    const std::size_t steps = counting.platform.calls.size();
    REQUIRE(steps == 7);
    const auto fault = GENERATE(Fault::Outage, Fault::RateLimit);
    for (std::size_t step = 0; step < steps; ++step) {
        CAPTURE(step);
        Operator op;
        op.apply("kogi", "c-1");
        op.platform.calls.clear();
        op.platform.fault = [&op, step, fault](const auto &) { return op.platform.calls.size() > step ? fault : Fault::None; };
        CHECK(op.apply("kwara", "c-2").status == ApplyStatus::NotAccepted);
        op.platform.fault = nullptr;
        CHECK(op.headChange() == "c-1");
    }
}

TEST_CASE("a fault that ends before the deadline is retried", "[objectstore][publisher]")
{
    const auto fault = GENERATE(Fault::Outage, Fault::RateLimit, Fault::LoseRequest, Fault::LoseResponse);
    Operator op;
    op.apply("kogi", "c-1");
    // The first call of each kind for each key fails.
    std::set<std::string> seen;
    op.platform.fault = [&seen, fault](const auto &call) { return seen.insert(call.operation + call.key).second ? fault : Fault::None; };
    CHECK(op.apply("kwara", "c-2").status == ApplyStatus::Accepted);
    op.platform.fault = nullptr;
    CHECK(op.headChange() == "c-2");
}

TEST_CASE("a part whose content does not match its name is refused", "[objectstore][publisher]")
{
    Operator op;
    op.apply("kogi", "c-1");
    for (auto &[key, object] : op.platform.objects) {
        if (key != "head") {
            object.body += "x";
        }
    }
    const auto outcome = op.apply("kwara", "c-2");
    CHECK(outcome.status == ApplyStatus::NotAccepted);
    CHECK(outcome.error->kind() == ErrorKind::Malformed);
}
