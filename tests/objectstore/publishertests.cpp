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

struct PublisherFixture {
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

    ApplyOutcome retry(const std::string &region, const std::string &change)
    {
        ApplyRequest request;
        request.set = setWithRegion(region);
        request.changeId = change;
        request.isRetry = true;
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

    /** Makes the first @p count writes of "head" fail with @p fault. */
    void failHeadWrites(Fault fault, int count)
    {
        platform.fault = [fault, count](const FakePlatform::Call &call) mutable {
            return call.operation == "write" && call.key == "head" && count-- > 0 ? fault : Fault::None;
        };
    }
};

} // namespace

TEST_CASE("an accepted change becomes the next generation", "[objectstore][publisher]")
{
    PublisherFixture fixture;
    const auto first = fixture.apply("kogi", "c-1");
    CHECK(first.status == ApplyStatus::Accepted);
    CHECK(first.generation == 1);
    CHECK(fixture.apply("kwara", "c-2").generation == 2);

    SECTION("with writes of one leaf, one index, the record and the head only")
    {
        fixture.platform.calls.clear();
        CHECK(fixture.apply("fct", "c-3").status == ApplyStatus::Accepted);
        CHECK(fixture.writes() == 4);
    }
    SECTION("which can be read back completely")
    {
        ConfigLoader loader(fixture.platform, fixture.clock, fixture.timer, fixture.random);
        const auto records = await(fixture.publisher.history(10, fixture.clock.now() + timeout));
        REQUIRE(records->size() == 2);
        CHECK(records->at(0).author() == "bola");
        CHECK(await(loader.readSet(records->at(0), fixture.clock.now() + timeout)) == setWithRegion("kwara"));
    }
    SECTION("but publishing the same objects again writes nothing")
    {
        fixture.platform.calls.clear();
        CHECK(fixture.apply("kwara", "c-3").status == ApplyStatus::Unchanged);
        CHECK(fixture.writes() == 0);
    }
    SECTION("which is found by the change id")
    {
        CHECK(await(fixture.publisher.findChange("c-1", fixture.clock.now() + timeout))->generation() == 1);
        CHECK(await(fixture.publisher.findChange("c-9", fixture.clock.now() + timeout)).error().kind() == ErrorKind::NotFound);
    }
}

TEST_CASE("a configuration with errors is not published", "[objectstore][publisher]")
{
    PublisherFixture fixture;
    const auto outcome = fixture.apply("Not A Region", "c-1");
    CHECK(outcome.status == ApplyStatus::NotAccepted);
    CHECK(outcome.error->kind() == ErrorKind::Rejected);
    CHECK(outcome.findings.size() == 1);
    CHECK(fixture.platform.calls.empty());
}

TEST_CASE("the outcome is determined after the response to the head write is lost", "[objectstore][publisher]")
{
    PublisherFixture fixture;
    fixture.apply("kogi", "c-1");
    SECTION("accepted if the write took effect")
    {
        fixture.failHeadWrites(Fault::LoseResponse, 1);
        const auto outcome = fixture.apply("kwara", "c-2");
        CHECK(outcome.status == ApplyStatus::Accepted);
        CHECK(outcome.generation == 2);
    }
    SECTION("accepted by a second write if the first one did not take effect")
    {
        fixture.failHeadWrites(Fault::LoseRequest, 1);
        CHECK(fixture.apply("kwara", "c-2").status == ApplyStatus::Accepted);
        CHECK(fixture.headChange() == "c-2");
    }
    SECTION("accepted although another change was accepted after it")
    {
        // Guards against comparing with the newest record only, which would report an accepted change as lost.
        PublisherFixture *other = &fixture;
        bool lost = false;
        fixture.platform.fault = [&lost, other](const FakePlatform::Call &call) {
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
        const auto outcome = fixture.apply("kwara", "c-2");
        CHECK(outcome.status == ApplyStatus::Accepted);
        CHECK(outcome.generation == 2);
        CHECK(fixture.headChange() == "c-3");
    }
    SECTION("conflict if another change was accepted first")
    {
        fixture.failHeadWrites(Fault::LoseRequest, 1);
        fixture.platform.beforeHeadWrite = [&fixture] {
            const auto fault = std::exchange(fixture.platform.fault, nullptr);
            fixture.apply("fct", "c-3");
            fixture.platform.fault = fault;
        };
        const auto outcome = fixture.apply("kwara", "c-2");
        CHECK(outcome.status == ApplyStatus::Conflict);
        CHECK(outcome.winner->changeId() == "c-3");
    }
    SECTION("unknown if the platform stays unavailable; the change is found by its id later")
    {
        bool lost = false;
        fixture.platform.fault = [&lost](const FakePlatform::Call &call) {
            if (lost) {
                return Fault::Outage;
            }
            lost = call.operation == "write" && call.key == "head";
            return lost ? Fault::LoseResponse : Fault::None;
        };
        CHECK(fixture.apply("kwara", "c-2").status == ApplyStatus::Unknown);
        fixture.platform.fault = nullptr;
        CHECK(await(fixture.publisher.findChange("c-2", fixture.clock.now() + timeout))->generation() == 2);
        CHECK(fixture.apply("fct", "c-3").generation == 3);
        // A retry of the change must not undo the change that was accepted after it.
        CHECK(fixture.retry("kwara", "c-2").generation == 2);
        CHECK(fixture.headChange() == "c-3");
    }
}

TEST_CASE("of two concurrent changes one is accepted and the other one reports it as the winner", "[objectstore][publisher]")
{
    PublisherFixture fixture;
    fixture.apply("kogi", "c-1");
    fixture.platform.beforeHeadWrite = [&fixture] { fixture.apply("fct", "c-3"); };
    const auto outcome = fixture.apply("kwara", "c-2");
    CHECK(outcome.status == ApplyStatus::Conflict);
    CHECK(outcome.winner->generation() == 2);
    CHECK(outcome.winner->author() == "bola");
    CHECK(fixture.headChange() == "c-3");

    SECTION("if the first change was accepted before the call")
    {
        const auto late = fixture.apply("kwara", "c-4", 1);
        CHECK(late.status == ApplyStatus::Conflict);
        CHECK(late.winner->changeId() == "c-3");
    }
    SECTION("a change that expects the current generation is accepted")
    {
        CHECK(fixture.apply("kwara", "c-4", 2).generation == 3);
    }
    SECTION("a change that expects a generation that does not exist is refused")
    {
        CHECK(fixture.apply("kwara", "c-4", 9).status == ApplyStatus::NotAccepted);
    }
}

TEST_CASE("a change is reported as not accepted if an outage begins before any step up to the head write", "[objectstore][publisher]")
{
    // Guards against reporting "unknown" or "accepted" although the change cannot have taken effect.
    PublisherFixture reference;
    reference.apply("kogi", "c-1");
    reference.platform.calls.clear();
    reference.apply("kwara", "c-2");
    const std::size_t steps = reference.platform.calls.size();
    REQUIRE(steps == 7);
    const auto fault = GENERATE(Fault::Outage, Fault::RateLimit);
    for (std::size_t step = 0; step < steps; ++step) {
        CAPTURE(step);
        PublisherFixture fixture;
        fixture.apply("kogi", "c-1");
        fixture.platform.calls.clear();
        fixture.platform.fault
            = [&fixture, step, fault](const auto &) { return fixture.platform.calls.size() > step ? fault : Fault::None; };
        CHECK(fixture.apply("kwara", "c-2").status == ApplyStatus::NotAccepted);
        fixture.platform.fault = nullptr;
        CHECK(fixture.headChange() == "c-1");
    }
}

TEST_CASE("failed calls are retried until the deadline", "[objectstore][publisher]")
{
    const auto fault = GENERATE(Fault::Outage, Fault::RateLimit, Fault::LoseRequest, Fault::LoseResponse);
    PublisherFixture fixture;
    fixture.apply("kogi", "c-1");
    // The first call of each operation on each key fails.
    std::set<std::string> seen;
    fixture.platform.fault
        = [&seen, fault](const auto &call) { return seen.insert(call.operation + call.key).second ? fault : Fault::None; };
    CHECK(fixture.apply("kwara", "c-2").status == ApplyStatus::Accepted);
    fixture.platform.fault = nullptr;
    CHECK(fixture.headChange() == "c-2");
}

TEST_CASE("parts whose content does not match their name are refused", "[objectstore][publisher]")
{
    PublisherFixture fixture;
    fixture.apply("kogi", "c-1");
    for (auto &[key, object] : fixture.platform.objects) {
        if (key != "head") {
            object.body += "x";
        }
    }
    const auto outcome = fixture.apply("kwara", "c-2");
    CHECK(outcome.status == ApplyStatus::NotAccepted);
    CHECK(outcome.error->kind() == ErrorKind::Malformed);
}
