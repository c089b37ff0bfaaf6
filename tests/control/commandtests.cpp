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

/** Answers by address: port 1 has events, port 2 is leaving, all others are unreachable. */
class FakeInstances : public InstanceApi
{
public:
    std::vector<Event> all;

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
        for (const Event &event : all) {
            // Two at a time, so that more than one page is read.
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
            co_return failure(ErrorKind::OutcomeUnknown, instance.toString(), "answer lost");
        }
        DrainReply reply;
        reply.accepted = instance.port() == 1;
        co_return reply;
    }
};

struct Client {
    ManualClock clock;
    FakeTimer timer { clock };
    SeededRandom random { 20261204 };
    FakePlatform platform { clock };
    FakeInstances instances;
    CommandOptions options { .author = "bola" };
    std::ostringstream out;
    std::ostringstream errors;

    CommandExit run(const std::string &name, std::vector<std::string> words)
    {
        out.str("");
        errors.str("");
        TableRenderer renderer(out, errors);
        return runWith(renderer, name, std::move(words));
    }

    CommandExit runWith(Renderer &renderer, const std::string &name, std::vector<std::string> words)
    {
        CommandContext context { &platform, instances, clock, timer, random, renderer, options, clock.now() + options.timeout };
        return await(CommandTable().find(name)->run(context, std::move(words)));
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

TEST_CASE("files are validated without the platform", "[control]")
{
    Client client;
    CHECK(client.run("validate", { dewnet }) == CommandExit::Ok);
    CHECK(client.run("validate", { "examples/none.toml" }) == CommandExit::Refused);
    CHECK_THAT(client.errors.str(), Catch::StartsWith("examples/none.toml: error: file: the file cannot be read"));
    CHECK(client.run("validate", {}) == CommandExit::Usage);
    // The same objects twice: every duplicate is named with its place.
    CHECK(client.run("validate", { dewnet, dewnet }) == CommandExit::Refused);
    CHECK_THAT(client.errors.str(), Catch::Contains("examples/dewnet/config.toml:3: error: failure_domain lokoja: name = lokoja"));
    CHECK(client.platform.calls.empty());
}

TEST_CASE("a change is shown, applied and listed", "[control]")
{
    Client client;
    CHECK(client.run("diff", { dewnet }) == CommandExit::Ok);
    CHECK_THAT(client.out.str(), Catch::Contains("+ service pondwatch"));
    CHECK(client.run("apply", { dewnet }) == CommandExit::Ok);
    CHECK_THAT(client.out.str(), Catch::StartsWith("accepted: generation 1, change c-"));
    CHECK(client.run("apply", { dewnet }) == CommandExit::Ok);
    CHECK_THAT(client.out.str(), Catch::StartsWith("unchanged: generation 1"));
    CHECK(client.run("diff", { dewnet }) == CommandExit::Ok);
    CHECK(client.out.str() == "no differences\n");
    CHECK(client.run("history", {}) == CommandExit::Ok);
    CHECK_THAT(client.out.str(), Catch::Contains("bola"));
}

TEST_CASE("each outcome of a change has its own exit code", "[control]")
{
    Client client;
    REQUIRE(client.run("apply", { dewnet }) == CommandExit::Ok);
    SECTION("a conflict names the winner")
    {
        client.options.expectedGeneration = 0;
        CHECK(client.run("apply", { tuganKun }) == CommandExit::Conflict);
        CHECK_THAT(client.errors.str(), Catch::Contains("generation 1, change c-"));
    }
    SECTION("an outage is not accepted")
    {
        client.platform.fault = [](const auto &) { return Fault::Outage; };
        CHECK(client.run("apply", { tuganKun }) == CommandExit::Unavailable);
        CHECK_THAT(client.errors.str(), Catch::StartsWith("not accepted"));
    }
    SECTION("an outage after the head was sent is unknown, and the same id can be asked for and repeated")
    {
        bool sent = false;
        client.platform.fault = [&sent](const auto &call) {
            const bool head = call.operation == "write" && call.key == "head";
            const Fault fault = sent ? Fault::Outage : (head ? Fault::LoseResponse : Fault::None);
            sent = sent || head;
            return fault;
        };
        client.options.changeId = "night-shift";
        CHECK(client.run("apply", { tuganKun }) == CommandExit::UnknownOutcome);
        client.platform.fault = nullptr;
        CHECK(client.run("history", {}) == CommandExit::Ok);
        CHECK_THAT(client.out.str(), Catch::Contains("night-shift"));
        CHECK(client.run("apply", { tuganKun }) == CommandExit::Ok);
        CHECK_THAT(client.out.str(), Catch::StartsWith("accepted: generation 2"));
    }
    SECTION("a wait that ends too early names the instances")
    {
        client.options.wait = true;
        client.platform.listed = { { .id = "i-1", .failureDomain = "almaly" }, { .id = "i-2", .failureDomain = "medeu" } };
        client.report("almaly", 2, { "i-1" });
        CHECK(client.run("apply", { tuganKun }) == CommandExit::WaitExpired);
        CHECK_THAT(
            client.out.str(), Catch::Contains("1 of 2 instances have not reported it\n  i-2 in medeu: generation -, last heard never"));
    }
}

TEST_CASE("a server is drained although another change comes between", "[control]")
{
    Client client;
    REQUIRE(client.run("apply", { dewnet }) == CommandExit::Ok);
    client.platform.beforeHeadWrite = [&client] {
        std::ostringstream ignored;
        TableRenderer renderer(ignored, ignored);
        CHECK(client.runWith(renderer, "drain", { "mapvault/mapvault-01" }) == CommandExit::Ok);
    };
    CHECK(client.run("drain", { "pondwatch/pondwatch-03" }) == CommandExit::Ok);
    CHECK_THAT(client.out.str(), Catch::StartsWith("accepted: generation 3"));
    CHECK(client.run("diff", { dewnet }) == CommandExit::Ok);
    CHECK(client.out.str()
        == "~ server mapvault/mapvault-01\n    state: drain -> active\n~ server pondwatch/pondwatch-03\n    state: drain -> active\n");
    CHECK(client.run("undrain", { "pondwatch/pondwatch-03" }) == CommandExit::Ok);
    CHECK(client.run("drain", { "pondwatch/none" }) == CommandExit::Refused);
    CHECK(client.run("drain", { "pondwatch" }) == CommandExit::Usage);
    // mapvault must keep an active server in each failure domain, and okene has only one.
    CHECK(client.run("drain", { "mapvault/mapvault-03" }) == CommandExit::Refused);
    CHECK_THAT(client.errors.str(), Catch::Contains("pool mapvault: domains = okene"));
}

TEST_CASE("status claims a generation to be in force everywhere only if all have reported it", "[control]")
{
    // Guards invariant 8: an operator who is told "everywhere" acts on it.
    Client client;
    REQUIRE(client.run("apply", { dewnet }) == CommandExit::Ok);
    client.platform.listed = { { .id = "i-1", .failureDomain = "lokoja" }, { .id = "i-2", .failureDomain = "okene" } };
    const auto status = [&client] {
        REQUIRE(client.run("status", {}) == CommandExit::Ok);
        return client.out.str();
    };
    const std::string everywhere = "generation 1 is in force everywhere (";
    SECTION("all have")
    {
        client.report("lokoja", 1, { "i-1" });
        client.report("okene", 1, { "i-2" });
        CHECK_THAT(status(), Catch::Contains(everywhere));
        std::ostringstream json;
        JsonRenderer renderer(json);
        CHECK(client.runWith(renderer, "status", {}) == CommandExit::Ok);
        CHECK_THAT(json.str(), Catch::Contains("\"in_force_everywhere\": true"));
    }
    SECTION("a listed instance is in no status")
    {
        client.report("lokoja", 1, { "i-1" });
        CHECK_THAT(status(), Catch::Contains("i-2 in okene: generation -, last heard never") && !Catch::Contains(everywhere));
    }
    SECTION("an instance of a status is not listed and holds an older generation")
    {
        client.report("lokoja", 1, { "i-1" });
        client.report("okene", 1, { "i-2" });
        client.report("ajaokuta", 0, { "i-3" });
        CHECK_THAT(status(),
            Catch::Contains("i-3 in ajaokuta: generation 0, last heard 2026-01-01T00:00:00.000Z") && !Catch::Contains(everywhere));
    }
    SECTION("a status cannot be read")
    {
        client.report("lokoja", 1, { "i-1", "i-2" });
        client.platform.objects["status/okene"] = PlatformObject { "status/okene", "{", 1 };
        CHECK_THAT(status(), Catch::Contains("status/okene") && !Catch::Contains(everywhere));
    }
    SECTION("a large failure domain names only instances that lag")
    {
        client.report("lokoja", 1, { "i-1" });
        DomainStatus summed;
        summed.failureDomain = "okene";
        summed.lowestInForce = 1;
        summed.expected = summed.reported = 1;
        const auto put = [&client, &summed] {
            client.platform.objects["status/okene"] = PlatformObject { "status/okene", summed.encode(), 1 };
        };
        put();
        CHECK_THAT(status(), Catch::Contains(everywhere));
        summed.reported = 0;
        put();
        CHECK_THAT(status(), Catch::Contains("failure domain okene: 0 of 1") && !Catch::Contains(everywhere));
    }
    SECTION("nothing is known")
    {
        client.platform.listed.clear();
        CHECK_THAT(status(), !Catch::Contains(everywhere));
    }
}

TEST_CASE("instances are asked directly", "[control]")
{
    Client client;
    client.options.deployment = "dewnet";
    for (std::uint16_t port = 1; port <= 3; ++port) {
        client.platform.listed.push_back(
            { .id = "i-" + std::to_string(port), .failureDomain = "lokoja", .peerAddress = Endpoint(0x7f000001, port) });
    }
    SECTION("for events, which are merged in causal order")
    {
        client.instances.all = { { "i-1", 1, { 10, 0 }, EventSeverity::Info, "first", {} },
            { "i-1", 2, { 10, 2 }, EventSeverity::Info, "third", {} }, { "i-1", 3, { 11, 0 }, EventSeverity::Info, "fourth", {} },
            { "i-2", 1, { 10, 1 }, EventSeverity::Warning, "second", { { "peer", "i-1" } } } };
        CHECK(client.run("events", { "i-1", "i-2" }) == CommandExit::Ok);
        const std::string text = client.out.str();
        CHECK(text.find("first") < text.find("second"));
        CHECK(text.find("second  peer=i-1") < text.find("third"));
        CHECK(text.find("third") < text.find("fourth"));
        client.options.count = 1;
        CHECK(client.run("events", {}) == CommandExit::Unavailable);
        CHECK_THAT(client.out.str(), Catch::Contains("fourth") && !Catch::Contains("third"));
        CHECK_THAT(client.errors.str(), Catch::Contains("instance i-3: Connection refused"));
    }
    SECTION("to stop gracefully")
    {
        CHECK(client.run("drain-instance", { "i-1" }) == CommandExit::Ok);
        CHECK(client.out.str() == "instance i-1 stops gracefully\n");
        CHECK(client.run("drain-instance", { "i-2" }) == CommandExit::Ok);
        CHECK(client.out.str() == "instance i-2 was leaving already\n");
        CHECK(client.run("drain-instance", { "i-3" }) == CommandExit::UnknownOutcome);
        CHECK(client.run("drain-instance", { "i-9" }) == CommandExit::Refused);
    }
    SECTION("by address during an outage of the platform")
    {
        client.platform.fault = [](const auto &) { return Fault::Outage; };
        CHECK(client.run("drain-instance", { "127.0.0.1:1" }) == CommandExit::Ok);
        CHECK(client.run("drain-instance", { "i-1" }) == CommandExit::Unavailable);
        CHECK(client.run("status", {}) == CommandExit::Unavailable);
        CHECK(client.run("status", { "127.0.0.1:1" }) == CommandExit::Ok);
        CHECK_THAT(client.out.str(), Catch::Contains("generation 7 is not known to be in force everywhere: 1 of 1"));
    }
}
