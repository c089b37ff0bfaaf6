#include "control/commandtable.h"
#include "control/instanceapi.h"
#include "control/jsonrenderer.h"
#include "control/tablerenderer.h"
#include "core/random.h"
#include "fakes/await.h"
#include "fakes/fakeplatform.h"
#include "fakes/faketimer.h"
#include "peer/domainstatus.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

namespace
{

constexpr auto dewnet = "examples/dewnet/config.toml";
constexpr auto tuganKun = "examples/tugan-kun/config.toml";

/** Responds by port: 1 accepts a drain, 2 is already leaving, all others are unreachable for events and drains. */
class FakeInstances : public InstanceApi
{
public:
    std::vector<Event> recorded;

    asio::awaitable<Result<StatusReply>> status(Endpoint, TimePoint) override
    {
        DomainStatus domain;
        domain.failureDomain = "lokoja";
        domain.highestHeld = 7;
        domain.lowestInForce = 6;
        domain.reported = domain.expected = 1;
        domain.instances.push_back({ "i-1", MemberState::Alive, 7, 6, 1767225600000 });
        StatusReply reply;
        reply.statuses.push_back(domain);
        co_return reply;
    }

    asio::awaitable<Result<EventsReply>> events(Endpoint instance, std::uint64_t after, TimePoint) override
    {
        EventsReply reply;
        for (const Event &event : recorded) {
            // Returns two events at a time, so that several pages have to be read.
            if (event.instance == "i-" + std::to_string(instance.port()) && event.sequence > after && reply.events.size() < 2) {
                reply.events.push_back(event);
            }
        }
        if (instance.port() > 2) {
            co_return failure(ErrorKind::Unavailable, instance.toString(), "Connection refused");
        }
        co_return reply;
    }

    asio::awaitable<Result<DrainReply>> drain(Endpoint instance, TimePoint) override
    {
        if (instance.port() > 2) {
            co_return failure(ErrorKind::OutcomeUnknown, instance.toString(), "reply lost");
        }
        DrainReply reply;
        reply.accepted = instance.port() == 1;
        co_return reply;
    }
};

struct CommandFixture {
    ManualClock clock;
    FakeTimer timer { clock };
    SeededRandom random { 20261204 };
    FakePlatform platform { clock };
    FakeInstances instances;
    CommandOptions options { .author = "bola" };
    std::ostringstream out;
    std::ostringstream errors;

    CommandExit run(const std::string &name, std::vector<std::string> operands)
    {
        out.str("");
        errors.str("");
        TableRenderer renderer(out, errors);
        return runWith(renderer, name, std::move(operands));
    }

    CommandExit runWith(Renderer &renderer, const std::string &name, std::vector<std::string> operands)
    {
        CommandContext context { &platform, instances, clock, timer, random, renderer, options, clock.now() + options.timeout };
        return await(CommandTable().find(name)->run(context, std::move(operands)));
    }

    void report(const std::string &domain, std::uint64_t generation, std::vector<std::string> ids)
    {
        DomainStatus status;
        status.failureDomain = domain;
        status.reported = status.expected = static_cast<std::uint32_t>(ids.size());
        status.lowestInForce = generation;
        for (const std::string &id : ids) {
            status.instances.push_back({ id, MemberState::Alive, generation, generation, 1767225600000 });
        }
        const std::string key = "status/" + domain;
        platform.objects[key] = PlatformObject { key, status.encode(), 1 };
    }
};

} // namespace

TEST_CASE("validate checks files without the platform", "[control]")
{
    CommandFixture fixture;
    CHECK(fixture.run("validate", { dewnet }) == CommandExit::Ok);
    CHECK(fixture.run("validate", { "examples/none.toml" }) == CommandExit::Refused);
    CHECK_THAT(fixture.errors.str(), Catch::StartsWith("examples/none.toml: error: file: the file cannot be read"));
    CHECK(fixture.run("validate", {}) == CommandExit::Usage);
    // The same objects twice: each duplicate is reported with its file and line.
    CHECK(fixture.run("validate", { dewnet, dewnet }) == CommandExit::Refused);
    CHECK_THAT(fixture.errors.str(), Catch::Contains("examples/dewnet/config.toml:3: error: failure_domain lokoja: name = lokoja"));
    CHECK(fixture.platform.calls.empty());
}

TEST_CASE("a change is shown by diff, published by apply and listed by history", "[control]")
{
    CommandFixture fixture;
    CHECK(fixture.run("diff", { dewnet }) == CommandExit::Ok);
    CHECK_THAT(fixture.out.str(), Catch::Contains("+ service pondwatch"));
    CHECK(fixture.run("apply", { dewnet }) == CommandExit::Ok);
    CHECK_THAT(fixture.out.str(), Catch::StartsWith("accepted: generation 1, change c-"));
    CHECK(fixture.run("apply", { dewnet }) == CommandExit::Ok);
    CHECK_THAT(fixture.out.str(), Catch::StartsWith("unchanged: generation 1"));
    CHECK(fixture.run("diff", { dewnet }) == CommandExit::Ok);
    CHECK(fixture.out.str() == "no differences\n");
    CHECK(fixture.run("history", {}) == CommandExit::Ok);
    CHECK_THAT(fixture.out.str(), Catch::Contains("bola"));
}

TEST_CASE("each outcome of a change has its own exit code", "[control]")
{
    CommandFixture fixture;
    REQUIRE(fixture.run("apply", { dewnet }) == CommandExit::Ok);
    SECTION("a conflict names the winner, the change that was accepted")
    {
        fixture.options.expectedGeneration = 0;
        CHECK(fixture.run("apply", { tuganKun }) == CommandExit::Conflict);
        CHECK_THAT(fixture.errors.str(), Catch::Contains("generation 1, change c-"));
    }
    SECTION("a change is not accepted during an outage")
    {
        fixture.platform.fault = [](const auto &) { return Fault::Outage; };
        CHECK(fixture.run("apply", { tuganKun }) == CommandExit::Unavailable);
        CHECK_THAT(fixture.errors.str(), Catch::StartsWith("not accepted"));
    }
    SECTION("the outcome is unknown if an outage begins after the head was sent, and the change can be looked up and repeated by its id")
    {
        bool sent = false;
        fixture.platform.fault = [&sent](const auto &call) {
            const bool head = call.operation == "write" && call.key == "head";
            const Fault fault = sent ? Fault::Outage : (head ? Fault::LoseResponse : Fault::None);
            sent = sent || head;
            return fault;
        };
        fixture.options.changeId = "night-shift";
        CHECK(fixture.run("apply", { tuganKun }) == CommandExit::UnknownOutcome);
        fixture.platform.fault = nullptr;
        CHECK(fixture.run("history", {}) == CommandExit::Ok);
        CHECK_THAT(fixture.out.str(), Catch::Contains("night-shift"));
        CHECK(fixture.run("apply", { tuganKun }) == CommandExit::Ok);
        CHECK_THAT(fixture.out.str(), Catch::StartsWith("accepted: generation 2"));
    }
    SECTION("a wait that reaches its deadline names the lagging instances")
    {
        fixture.options.wait = true;
        fixture.platform.listed = { { .id = "i-1", .failureDomain = "almaly" }, { .id = "i-2", .failureDomain = "medeu" } };
        fixture.report("almaly", 2, { "i-1" });
        CHECK(fixture.run("apply", { tuganKun }) == CommandExit::WaitExpired);
        CHECK_THAT(
            fixture.out.str(), Catch::Contains("1 of 2 instances have not reported it\n  i-2 in medeu: generation -, last heard never"));
    }
}

TEST_CASE("a server is drained although another change is accepted in between", "[control]")
{
    CommandFixture fixture;
    REQUIRE(fixture.run("apply", { dewnet }) == CommandExit::Ok);
    fixture.platform.beforeHeadWrite = [&fixture] {
        std::ostringstream ignored;
        TableRenderer renderer(ignored, ignored);
        CHECK(fixture.runWith(renderer, "drain", { "mapvault/mapvault-01" }) == CommandExit::Ok);
    };
    CHECK(fixture.run("drain", { "pondwatch/pondwatch-03" }) == CommandExit::Ok);
    CHECK_THAT(fixture.out.str(), Catch::StartsWith("accepted: generation 3"));
    CHECK(fixture.run("diff", { dewnet }) == CommandExit::Ok);
    CHECK(fixture.out.str()
        == "~ server mapvault/mapvault-01\n    state: drain -> active\n~ server pondwatch/pondwatch-03\n    state: drain -> active\n");
    CHECK(fixture.run("undrain", { "pondwatch/pondwatch-03" }) == CommandExit::Ok);
    CHECK(fixture.run("drain", { "pondwatch/none" }) == CommandExit::Refused);
    CHECK(fixture.run("drain", { "pondwatch" }) == CommandExit::Usage);
    // Pool mapvault must keep an active server in each failure domain, and has only one in okene.
    CHECK(fixture.run("drain", { "mapvault/mapvault-03" }) == CommandExit::Refused);
    CHECK_THAT(fixture.errors.str(), Catch::Contains("pool mapvault: domains = okene"));
}

TEST_CASE("status reports a generation as in force everywhere only if all instances have reported it", "[control]")
{
    // Guards invariant 8: operators rely on a report that a generation is in force everywhere.
    CommandFixture fixture;
    REQUIRE(fixture.run("apply", { dewnet }) == CommandExit::Ok);
    fixture.platform.listed = { { .id = "i-1", .failureDomain = "lokoja" }, { .id = "i-2", .failureDomain = "okene" } };
    const auto status = [&fixture] {
        REQUIRE(fixture.run("status", {}) == CommandExit::Ok);
        return fixture.out.str();
    };
    const std::string everywhere = "generation 1 is in force everywhere (";
    SECTION("all instances have reported it")
    {
        fixture.report("lokoja", 1, { "i-1" });
        fixture.report("okene", 1, { "i-2" });
        CHECK_THAT(status(), Catch::Contains(everywhere));
        std::ostringstream json;
        JsonRenderer renderer(json);
        CHECK(fixture.runWith(renderer, "status", {}) == CommandExit::Ok);
        CHECK_THAT(json.str(), Catch::Contains("\"in_force_everywhere\": true"));
    }
    SECTION("a listed instance is in no status object")
    {
        fixture.report("lokoja", 1, { "i-1" });
        CHECK_THAT(status(), Catch::Contains("i-2 in okene: generation -, last heard never") && !Catch::Contains(everywhere));
    }
    SECTION("an instance of a status object is not listed and has an older generation")
    {
        fixture.report("lokoja", 1, { "i-1" });
        fixture.report("okene", 1, { "i-2" });
        fixture.report("ajaokuta", 0, { "i-3" });
        CHECK_THAT(status(),
            Catch::Contains("i-3 in ajaokuta: generation 0, last heard 2026-01-01T00:00:00.000Z") && !Catch::Contains(everywhere));
    }
    SECTION("a status object cannot be decoded")
    {
        fixture.report("lokoja", 1, { "i-1", "i-2" });
        fixture.platform.objects["status/okene"] = PlatformObject { "status/okene", "{", 1 };
        CHECK_THAT(status(), Catch::Contains("status/okene") && !Catch::Contains(everywhere));
    }
    SECTION("a large failure domain names only lagging instances")
    {
        fixture.report("lokoja", 1, { "i-1" });
        DomainStatus summed;
        summed.failureDomain = "okene";
        summed.lowestInForce = 1;
        summed.expected = summed.reported = 1;
        const auto put = [&fixture, &summed] {
            fixture.platform.objects["status/okene"] = PlatformObject { "status/okene", summed.encode(), 1 };
        };
        put();
        CHECK_THAT(status(), Catch::Contains(everywhere));
        summed.reported = 0;
        put();
        CHECK_THAT(status(), Catch::Contains("failure domain okene: 0 of 1") && !Catch::Contains(everywhere));
    }
    SECTION("nothing is known of any instance")
    {
        fixture.platform.listed.clear();
        CHECK_THAT(status(), !Catch::Contains(everywhere));
    }
}

TEST_CASE("commands send requests to instances directly", "[control]")
{
    CommandFixture fixture;
    fixture.options.deployment = "dewnet";
    for (std::uint16_t port = 1; port <= 3; ++port) {
        fixture.platform.listed.push_back(
            { .id = "i-" + std::to_string(port), .failureDomain = "lokoja", .peerAddress = Endpoint(0x7f000001, port) });
    }
    SECTION("for events, which are merged in causal order")
    {
        fixture.instances.recorded = { { "i-1", 1, { 10, 0 }, EventSeverity::Info, "first", {} },
            { "i-1", 2, { 10, 2 }, EventSeverity::Info, "third", {} }, { "i-1", 3, { 11, 0 }, EventSeverity::Info, "fourth", {} },
            { "i-2", 1, { 10, 1 }, EventSeverity::Warning, "second", { { "peer", "i-1" } } } };
        CHECK(fixture.run("events", { "i-1", "i-2" }) == CommandExit::Ok);
        const std::string text = fixture.out.str();
        CHECK(text.find("first") < text.find("second"));
        CHECK(text.find("second  peer=i-1") < text.find("third"));
        CHECK(text.find("third") < text.find("fourth"));
        fixture.options.count = 1;
        CHECK(fixture.run("events", {}) == CommandExit::Unavailable);
        CHECK_THAT(fixture.out.str(), Catch::Contains("fourth") && !Catch::Contains("third"));
        CHECK_THAT(fixture.errors.str(), Catch::Contains("instance i-3: Connection refused"));
    }
    SECTION("to stop gracefully")
    {
        CHECK(fixture.run("drain-instance", { "i-1" }) == CommandExit::Ok);
        CHECK(fixture.out.str() == "instance i-1 stops gracefully\n");
        CHECK(fixture.run("drain-instance", { "i-2" }) == CommandExit::Ok);
        CHECK(fixture.out.str() == "instance i-2 was leaving already\n");
        CHECK(fixture.run("drain-instance", { "i-3" }) == CommandExit::UnknownOutcome);
        CHECK(fixture.run("drain-instance", { "i-9" }) == CommandExit::Refused);
    }
    SECTION("by address during an outage of the platform")
    {
        fixture.platform.fault = [](const auto &) { return Fault::Outage; };
        CHECK(fixture.run("drain-instance", { "127.0.0.1:1" }) == CommandExit::Ok);
        CHECK(fixture.run("drain-instance", { "i-1" }) == CommandExit::Unavailable);
        CHECK(fixture.run("status", {}) == CommandExit::Unavailable);
        CHECK(fixture.run("status", { "127.0.0.1:1" }) == CommandExit::Ok);
        CHECK_THAT(fixture.out.str(), Catch::Contains("generation 7 is not known to be in force everywhere: 1 of 1"));
    }
}
