#include "core/eventsink.h"
#include "core/hybridclock.h"
#include "core/random.h"
#include "fakes/await.h"
#include "health/healthprober.h"
#include "health/healthreporter.h"
#include "health/httpserverprobe.h"
#include "lib/backendgroup.h"
#include "standins/udppeer.h"

#include <asio/detached.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

using namespace Samphirepitch;

namespace
{

using std::chrono::milliseconds;

/** Returns a fixed result at once, or never returns. */
class FakeProbe : public ServerProbe
{
public:
    asio::awaitable<ProbeResult> probe(Endpoint, TimePoint) override
    {
        ++probeCount;
        if (neverEnds) {
            asio::steady_timer never(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
            co_await never.async_wait(asio::use_awaitable);
        }
        co_return result;
    }

    ProbeResult result = ProbeResult::Ok;
    std::size_t probeCount = 0;
    bool neverEnds = false;
};

class Recorder : public EventSink, public HealthReporter
{
public:
    void record(EventSeverity, std::string_view name, std::vector<EventField> fields) override
    {
        events.emplace_back(name);
        lastFields = std::move(fields);
    }

    void reportServerStates(const ServerStates &states) override
    {
        reported.insert(reported.end(), states.states.begin(), states.states.end());
    }

    TimePoint viewDeadline() const override
    {
        return deadline;
    }

    std::vector<std::string> events;
    std::vector<EventField> lastFields;
    std::vector<ServerHealthChange> reported;
    TimePoint deadline = TimePoint::max();
};

struct ProberFixture {
    explicit ProberFixture(int servers = 1)
    {
        auto fakeProbe = std::make_unique<FakeProbe>();
        probe = fakeProbe.get();
        HealthProber::Dependencies dependencies { clock, random, hybridClock, recorder, recorder, std::move(fakeProbe) };
        prober = HealthProber::create(context.get_executor(), "lokoja-1", "lokoja", std::move(dependencies)).value();
        BackendPool::Fields pool { .name = "ponds" };
        for (int index = 0; index < servers; ++index) {
            pool.servers.emplace_back(BackendServer::Fields { .name = "s" + std::to_string(index),
                .failureDomain = "lokoja",
                .health = Endpoint(0x7f000001, static_cast<std::uint16_t>(8000 + index)) });
        }
        prober->configurationChanged({ {}, std::make_shared<const ConfigSet>(ConfigSet({ .pools = { BackendPool(pool) } })) });
        setMembers({ "lokoja-1", "lokoja-2" });
    }

    void setMembers(const std::vector<std::string> &ids)
    {
        std::vector<Member> members;
        for (const std::string &id : ids) {
            members.emplace_back(Member::Fields { .id = id, .failureDomain = "lokoja" });
        }
        prober->memberViewChanged(std::make_shared<const MemberView>(std::move(members)));
    }

    void tick()
    {
        prober->tick(clock.now());
        context.restart();
        context.poll();
        clock.advance(HealthProber::tickInterval);
    }

    /** Advances the clock until @p probeCount more probes have run, which all have the given result. */
    void runProbes(std::size_t probeCount, ProbeResult result)
    {
        probe->result = result;
        const std::size_t expected = probe->probeCount + probeCount;
        for (int ticks = 0; ticks < 10000 && probe->probeCount < expected; ++ticks) {
            tick();
        }
        REQUIRE(probe->probeCount == expected);
    }

    /** Passes the report of another prober about the first server. */
    void reportState(bool healthy)
    {
        prober->serverStatesChanged({ { { "ponds", "s0", healthy, hybridClock.tick(clock.wallNow()) } } });
    }

    asio::io_context context;
    ManualClock clock;
    SeededRandom random { 20261204 };
    HybridClock hybridClock;
    Recorder recorder;
    FakeProbe *probe = nullptr;
    std::unique_ptr<HealthProber> prober;
};

} // namespace

TEST_CASE("a server is down after three consecutive failures and up after two successful probes", "[health][prober]")
{
    ProberFixture fixture;
    // Guards against counting failures that are not consecutive.
    fixture.runProbes(2, ProbeResult::Unanswered);
    fixture.runProbes(1, ProbeResult::Overloaded);
    fixture.runProbes(2, ProbeResult::Malformed);
    CHECK(fixture.recorder.reported.empty());
    const WallTime before = fixture.clock.wallNow();
    fixture.runProbes(1, ProbeResult::Unanswered);
    REQUIRE(fixture.recorder.reported.size() == 1);
    const ServerHealthChange down = fixture.recorder.reported[0];
    CHECK((down.pool == "ponds" && down.server == "s0" && !down.healthy));
    CHECK(down.at.wallMs >= static_cast<std::uint64_t>(before.time_since_epoch().count()));
    CHECK(fixture.recorder.events == std::vector<std::string> { "server_down" });
    CHECK(fixture.recorder.lastFields.at(2) == EventField { "source", "probe" });
    CHECK(fixture.prober->downCount() == 1);

    // Guards against reporting each probe instead of changes only.
    fixture.runProbes(5, ProbeResult::Unanswered);
    fixture.runProbes(1, ProbeResult::Draining);
    CHECK(fixture.recorder.reported.size() == 1);
    fixture.runProbes(1, ProbeResult::Ok);
    REQUIRE(fixture.recorder.reported.size() == 2);
    CHECK(fixture.recorder.reported[1].healthy);
    CHECK(fixture.recorder.reported[1].at > down.at);
    CHECK(fixture.recorder.events.back() == "server_up");
}

TEST_CASE("probes keep their interval and the limit of concurrent probes", "[health][prober]")
{
    SECTION("a server is probed once every 1.8 to 2.2 s")
    {
        ProberFixture fixture;
        fixture.runProbes(1, ProbeResult::Ok);
        const TimePoint start = fixture.clock.now();
        fixture.runProbes(100, ProbeResult::Ok);
        CHECK(fixture.clock.now() - start >= 100 * milliseconds(1800));
        CHECK(fixture.clock.now() - start <= 100 * milliseconds(2300)); // including a tick for each probe
    }
    SECTION("probes that never end are limited in number, and stop() ends them")
    {
        ProberFixture fixture(100);
        fixture.probe->neverEnds = true;
        for (int ticks = 0; ticks < 60; ++ticks) {
            fixture.tick();
        }
        CHECK(fixture.prober->serverCount() == 100);
        CHECK(fixture.probe->probeCount == HealthProber::maxConcurrentProbes);
        bool hasEnded = false;
        asio::co_spawn(
            fixture.context, fixture.prober->run(), [&hasEnded](const std::exception_ptr &, const Result<void> &) { hasEnded = true; });
        fixture.prober->stop();
        fixture.context.restart();
        fixture.context.poll();
        CHECK(hasEnded);
    }
}

TEST_CASE("a new prober of a server that was reported down reports it up", "[health][prober]")
{
    // Guards against a server that stays down forever because the instance that reported it is gone.
    ProberFixture fixture;
    SECTION("the reported state arrives before the first probes")
    {
        fixture.reportState(false);
        fixture.runProbes(2, ProbeResult::Ok);
        CHECK(fixture.recorder.reported.size() == 1);
    }
    SECTION("the other prober fails after this one considered the server up")
    {
        fixture.runProbes(5, ProbeResult::Ok);
        fixture.reportState(false);
        fixture.runProbes(5, ProbeResult::Ok);
        // Two probers that disagree must not change the state in turn.
        CHECK(fixture.recorder.reported.empty());
        fixture.setMembers({ "lokoja-1" });
        fixture.runProbes(2, ProbeResult::Ok);
        REQUIRE(fixture.recorder.reported.size() == 1);
        CHECK(fixture.recorder.reported[0].healthy);
    }
}

TEST_CASE("an instance without contact to any other considers no server down", "[health][prober]")
{
    // Guards against an isolated instance that reports all its servers down when it rejoins.
    ProberFixture fixture;
    fixture.recorder.deadline = fixture.clock.now();
    fixture.runProbes(10, ProbeResult::Unanswered);
    CHECK(fixture.recorder.reported.empty());
}

TEST_CASE("only a health report of limited size with a known state is a success", "[health][probe]")
{
    CHECK(HttpServerProbe::parseReport(R"({"state":"ok","in_flight":1,"queued":0})") == ProbeResult::Ok);
    CHECK(HttpServerProbe::parseReport(R"({"state":"draining"})") == ProbeResult::Draining);
    CHECK(HttpServerProbe::parseReport(R"({"state":"overloaded"})") == ProbeResult::Overloaded);
    const std::string large = R"({"state":"ok","x":")" + std::string(HttpServerProbe::maxResponseSize, 'x') + "\"}";
    const std::string deep = R"({"state":"ok","x":)" + std::string(100, '[') + std::string(100, ']') + "}";
    for (const std::string &body : { std::string(), std::string("ok"), std::string("[]"), std::string(R"({"state":1})"),
             std::string(R"({"state":"malformed"})"), std::string(R"({"state":"ok")"), large, deep }) {
        CHECK(HttpServerProbe::parseReport(body) == ProbeResult::Malformed);
    }
}

TEST_CASE("a probe requests the health report of a backend server over HTTP", "[health][probe]")
{
    using namespace StandIn;
    asio::io_context context;
    const ManualClock clock;
    BackendStandIn::Options options;
    options.name = "s1";
    options.address = Testing::anyLoopbackPort;
    const auto group = BackendGroup::start(context.get_executor(), clock, { { options, Testing::anyLoopbackPort } }).value();
    HttpServerProbe probe(context.get_executor(), clock);
    const auto probeOnce = [&] {
        std::optional<ProbeResult> result;
        // The deadline only ends a test that hangs.
        asio::co_spawn(context, Tests::storeResult(probe.probe(group->healthAddress(0), clock.now() + std::chrono::minutes(1)), result),
            asio::detached);
        while (!result && context.run_one() > 0) { }
        return result.value();
    };
    CHECK(probeOnce() == ProbeResult::Ok);
    group->server(0).setFaults({ .draining = true });
    CHECK(probeOnce() == ProbeResult::Draining);
    group->server(0).setFaults({ .healthState = "nonsense" });
    CHECK(probeOnce() == ProbeResult::Malformed);
    group->server(0).setFaults({ .healthDown = true });
    CHECK(probeOnce() == ProbeResult::Unanswered);
}
