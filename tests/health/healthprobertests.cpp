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

/** Answers at once with a set result, or never. */
class FakeProbe : public ServerProbe
{
public:
    asio::awaitable<ProbeResult> probe(Endpoint, TimePoint) override
    {
        ++count;
        if (hangs) {
            asio::steady_timer never(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
            co_await never.async_wait(asio::use_awaitable);
        }
        co_return result;
    }

    ProbeResult result = ProbeResult::Ok;
    std::size_t count = 0;
    bool hangs = false;
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
        auto owned = std::make_unique<FakeProbe>();
        probe = owned.get();
        HealthProber::Parts parts { clock, random, hybrid, recorder, recorder, std::move(owned) };
        prober = HealthProber::create(context.get_executor(), "lokoja-1", "lokoja", std::move(parts)).value();
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
        prober->step(clock.now());
        context.restart();
        context.poll();
        clock.advance(HealthProber::tickInterval);
    }

    /** Goes on until @p count more probes have ended. */
    void probes(std::size_t count, ProbeResult result)
    {
        probe->result = result;
        const std::size_t wanted = probe->count + count;
        for (int ticks = 0; ticks < 10000 && probe->count < wanted; ++ticks) {
            tick();
        }
        REQUIRE(probe->count == wanted);
    }

    void spread(bool healthy)
    {
        prober->serverStatesChanged({ { { "ponds", "s0", healthy, hybrid.tick(clock.wallNow()) } } });
    }

    asio::io_context context;
    ManualClock clock;
    SeededRandom random { 20261204 };
    HybridClock hybrid;
    Recorder recorder;
    FakeProbe *probe = nullptr;
    std::unique_ptr<HealthProber> prober;
};

} // namespace

TEST_CASE("a server is down after three failures in a row and up after two good probes", "[health][prober]")
{
    ProberFixture fixture;
    // Guards against counting failures that are not in a row.
    fixture.probes(2, ProbeResult::Unanswered);
    fixture.probes(1, ProbeResult::Overloaded);
    fixture.probes(2, ProbeResult::Malformed);
    CHECK(fixture.recorder.reported.empty());
    const WallTime before = fixture.clock.wallNow();
    fixture.probes(1, ProbeResult::Unanswered);
    REQUIRE(fixture.recorder.reported.size() == 1);
    const ServerHealthChange down = fixture.recorder.reported[0];
    CHECK((down.pool == "ponds" && down.server == "s0" && !down.healthy));
    CHECK(down.at.wallMs >= static_cast<std::uint64_t>(before.time_since_epoch().count()));
    CHECK(fixture.recorder.events == std::vector<std::string> { "server_down" });
    CHECK(fixture.recorder.lastFields.at(2) == EventField { "source", "probe" });
    CHECK(fixture.prober->downCount() == 1);

    // Guards against spreading each probe instead of changes only.
    fixture.probes(5, ProbeResult::Unanswered);
    fixture.probes(1, ProbeResult::Draining);
    CHECK(fixture.recorder.reported.size() == 1);
    fixture.probes(1, ProbeResult::Ok);
    REQUIRE(fixture.recorder.reported.size() == 2);
    CHECK(fixture.recorder.reported[1].healthy);
    CHECK(fixture.recorder.reported[1].at > down.at);
    CHECK(fixture.recorder.events.back() == "server_up");
}

TEST_CASE("probes keep their interval and their bound", "[health][prober]")
{
    SECTION("a server is probed once in 1.8 to 2.2 s")
    {
        ProberFixture fixture;
        fixture.probes(1, ProbeResult::Ok);
        const TimePoint start = fixture.clock.now();
        fixture.probes(100, ProbeResult::Ok);
        CHECK(fixture.clock.now() - start >= 100 * milliseconds(1800));
        CHECK(fixture.clock.now() - start <= 100 * milliseconds(2300)); // with the tick
    }
    SECTION("hanging probes are bounded, and stop() ends them")
    {
        ProberFixture fixture(100);
        fixture.probe->hangs = true;
        for (int ticks = 0; ticks < 60; ++ticks) {
            fixture.tick();
        }
        CHECK(fixture.prober->serverCount() == 100);
        CHECK(fixture.probe->count == HealthProber::maxProbes);
        bool ended = false;
        asio::co_spawn(
            fixture.context, fixture.prober->run(), [&ended](const std::exception_ptr &, const Result<void> &) { ended = true; });
        fixture.prober->stop();
        fixture.context.restart();
        fixture.context.poll();
        CHECK(ended);
    }
}

TEST_CASE("a new prober of a server that was spread as down reports it up", "[health][prober]")
{
    // Guards against a server that stays down for ever because the instance that reported it is gone.
    ProberFixture fixture;
    SECTION("the state arrives before the first probes")
    {
        fixture.spread(false);
        fixture.probes(2, ProbeResult::Ok);
        CHECK(fixture.recorder.reported.size() == 1);
    }
    SECTION("the other prober dies after this one held the server for up")
    {
        fixture.probes(5, ProbeResult::Ok);
        fixture.spread(false);
        fixture.probes(5, ProbeResult::Ok);
        // Two probers that disagree must not alternate.
        CHECK(fixture.recorder.reported.empty());
        fixture.setMembers({ "lokoja-1" });
        fixture.probes(2, ProbeResult::Ok);
        REQUIRE(fixture.recorder.reported.size() == 1);
        CHECK(fixture.recorder.reported[0].healthy);
    }
}

TEST_CASE("an instance without any contact holds no server for down", "[health][prober]")
{
    // Guards against an instance that is cut off and spreads all its servers as down when it rejoins.
    ProberFixture fixture;
    fixture.recorder.deadline = fixture.clock.now();
    fixture.probes(10, ProbeResult::Unanswered);
    CHECK(fixture.recorder.reported.empty());
}

TEST_CASE("only a bounded health report with a known state is good", "[health][probe]")
{
    CHECK(HttpServerProbe::resultOf(R"({"state":"ok","in_flight":1,"queued":0})") == ProbeResult::Ok);
    CHECK(HttpServerProbe::resultOf(R"({"state":"draining"})") == ProbeResult::Draining);
    CHECK(HttpServerProbe::resultOf(R"({"state":"overloaded"})") == ProbeResult::Overloaded);
    const std::string large = R"({"state":"ok","x":")" + std::string(HttpServerProbe::maxAnswerSize, 'x') + "\"}";
    const std::string deep = R"({"state":"ok","x":)" + std::string(100, '[') + std::string(100, ']') + "}";
    for (const std::string &body : { std::string(), std::string("ok"), std::string("[]"), std::string(R"({"state":1})"),
             std::string(R"({"state":"malformed"})"), std::string(R"({"state":"ok")"), large, deep }) {
        CHECK(HttpServerProbe::resultOf(body) == ProbeResult::Malformed);
    }
}

TEST_CASE("a probe asks a backend server over HTTP", "[health][probe]")
{
    using namespace StandIn;
    asio::io_context context;
    const ManualClock clock;
    BackendStandIn::Options options;
    options.name = "s1";
    options.address = Testing::anyLoopbackPort;
    const auto group = BackendGroup::start(context.get_executor(), clock, { { options, Testing::anyLoopbackPort } }).value();
    HttpServerProbe probe(context.get_executor(), clock);
    const auto probed = [&] {
        std::optional<ProbeResult> result;
        // The deadline only ends a run that hangs.
        asio::co_spawn(context, Tests::keepResult(probe.probe(group->healthAddress(0), clock.now() + std::chrono::minutes(1)), result),
            asio::detached);
        while (!result && context.run_one() > 0) { }
        return result.value();
    };
    CHECK(probed() == ProbeResult::Ok);
    group->server(0).changeFaults({ .draining = true });
    CHECK(probed() == ProbeResult::Draining);
    group->server(0).changeFaults({ .healthState = "nonsense" });
    CHECK(probed() == ProbeResult::Malformed);
    group->server(0).changeFaults({ .healthDown = true });
    CHECK(probed() == ProbeResult::Unanswered);
}
