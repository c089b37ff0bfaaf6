#include "data/answerobserver.h"
#include "data/enginebench.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace Samphirepitch;
using namespace std::chrono_literals;

using Target = SentDatagram::Target;

TEST_CASE("a caller gets the answer of the server that its request went to, once", "[data][requesthandler]")
{
    // Guards invariant 3 against crossed, foreign, late and repeated answers.
    EngineBench bench;
    bench.engine.configurationChanged(SamplePools::generation(1, SamplePools::servers(6)));
    bench.request(1, "checkin");
    REQUIRE(bench.sent.size() == 1);
    const Endpoint server = bench.sent[0].receiver;
    CHECK(bench.sent[0].header.deadline().has_value());
    const Endpoint other(server.address() == 0x7f001400 ? 0x7f001401 : 0x7f001400, 9000);
    bench.answer(other, EngineBench::answerBytes(1, "crossed"));
    bench.answer(Endpoint(0x7f00ff01, 9000), EngineBench::answerBytes(1, "foreign"));
    bench.answer(server, EngineBench::answerBytes(2, "stray"));
    CHECK(bench.count(Target::Fabric) == 0);
    bench.answer(server, EngineBench::answerBytes(1, "right"));
    REQUIRE(bench.count(Target::Fabric) == 1);
    CHECK(bench.lastSays("right"));
    CHECK(bench.sent.back().header.destination() == EngineBench::caller());
    bench.answer(server, EngineBench::answerBytes(1, "double"));
    CHECK(bench.count(Target::Fabric) == 1);
    CHECK(bench.engine.counters().crossedAnswers == 1);
    CHECK(bench.engine.counters().foreignSender == 1);
    CHECK(bench.engine.counters().strayAnswers == 2);
}

TEST_CASE("a repeated non-idempotent request is answered from memory", "[data][requesthandler]")
{
    // Guards invariant 5.
    EngineBench bench;
    bench.engine.configurationChanged(SamplePools::generation(1, SamplePools::servers(6)));
    bench.request(1, "checkin");
    const Endpoint server = bench.sent[0].receiver;
    bench.request(1, "checkin");
    CHECK(bench.lastSays("unknown"));
    bench.answer(server, EngineBench::answerBytes(1, "done"));
    bench.request(1, "checkin");
    CHECK(bench.lastSays("done"));
    CHECK(bench.count(Target::Server) == 1);
    SECTION("a late answer after the deadline stays unknown")
    {
        bench.request(2, "checkin");
        bench.clock.advance(3s);
        bench.engine.tick(bench.clock.now());
        const auto saysUnknown = std::count_if(bench.sent.begin(), bench.sent.end(), [](const SentDatagram &datagram) {
            const std::string text(datagram.payload.begin(), datagram.payload.end());
            return datagram.target == Target::Fabric && text.find("unknown") != std::string::npos;
        });
        CHECK(saysUnknown == 2);
        bench.answer(server, EngineBench::answerBytes(2, "late"));
        bench.request(2, "checkin");
        CHECK(bench.lastSays("unknown"));
    }
    SECTION("a request that the server did not run may be sent again")
    {
        bench.request(3, "checkin");
        bench.answer(server, EngineBench::refusalBytes(3, "not_run"));
        CHECK(bench.lastSays("not_run"));
        const std::size_t before = bench.count(Target::Server);
        bench.request(3, "checkin");
        CHECK(bench.count(Target::Server) == before + 1);
    }
}

TEST_CASE("a non-idempotent request is sent by its owner only", "[data][requesthandler]")
{
    std::vector<Member> members;
    std::vector<std::unique_ptr<EngineBench>> benches;
    for (std::uint32_t index = 0; index < 4; ++index) {
        const std::string id = "i" + std::to_string(index);
        members.emplace_back(Member::Fields { .id = id, .failureDomain = "a", .dataAddress = Endpoint(0x7f000100U + index, 6000) });
        benches.push_back(std::make_unique<EngineBench>(id));
    }
    const auto view = std::make_shared<const MemberView>(members);
    for (const auto &bench : benches) {
        bench->engine.configurationChanged(SamplePools::generation(1, SamplePools::servers(6)));
        bench->engine.memberViewChanged(view);
        bench->clock.advance(60s); // behind the quarantine of the start
    }
    for (std::uint32_t id = 0; id < 50; ++id) {
        std::size_t sends = 0;
        for (const auto &bench : benches) {
            const std::size_t before = bench->count(Target::Server);
            bench->request(id, "checkin");
            sends += bench->count(Target::Server) - before;
        }
        CHECK(sends == 1);
    }
}

TEST_CASE("a refusal says not run only if nothing was sent", "[data][requesthandler]")
{
    // Guards invariant 4.
    EngineBench bench("i1", ChooserKind::RoundRobin);
    Policy::Fields policy { .queueLimit = 1, .retryBudgetPercent = 100 };
    bench.engine.configurationChanged(SamplePools::generation(1, SamplePools::servers(2), Affinity::Request, Protocol::Rpc, policy));
    SECTION("refused before it was sent")
    {
        bench.request(1, "tile");
        bench.request(2, "tile");
        bench.request(3, "tile"); // waits for a slot
        CHECK(bench.count(Target::Server) == 2);
        bench.request(4, "tile");
        CHECK(bench.lastSays("not_run"));
        bench.answer(bench.sent[0].receiver, EngineBench::answerBytes(1, "done"));
        CHECK(bench.count(Target::Server) == 3); // the waiting request took the slot
    }
    SECTION("a second attempt was refused, but the first may have run")
    {
        bench.request(1, "tile");
        const Endpoint first = bench.sent[0].receiver;
        bench.clock.advance(1s);
        bench.engine.tick(bench.clock.now());
        REQUIRE(bench.count(Target::Server) == 3); // request, cancellation, second attempt
        CHECK(bench.sent[1].header.cancelledRequest() == 1);
        const Endpoint second = bench.sent[2].receiver;
        CHECK(second != first);
        bench.answer(second, EngineBench::refusalBytes(1, "not_run"));
        CHECK(bench.lastSays("unknown"));
    }
    SECTION("both servers refused it")
    {
        bench.request(1, "tile");
        bench.answer(bench.sent[0].receiver, EngineBench::refusalBytes(1, "not_run"));
        REQUIRE(bench.count(Target::Server) == 2);
        bench.answer(bench.sent[1].receiver, EngineBench::refusalBytes(1, "not_run"));
        CHECK(bench.lastSays("not_run"));
    }
}

TEST_CASE("the answer time is observed once for each matched answer", "[data][requesthandler]")
{
    // Guards the latency metric against stray answers and refusals, which say nothing about a server's speed.
    class Recorder : public AnswerObserver
    {
    public:
        void answered(std::chrono::nanoseconds elapsed) override
        {
            times.push_back(elapsed);
        }

        std::vector<std::chrono::nanoseconds> times;
    };
    Recorder recorder;
    EngineBench bench;
    bench.engine.requests().setAnswerObserver(&recorder);
    bench.engine.configurationChanged(SamplePools::generation(1, SamplePools::servers(6)));
    bench.request(1, "checkin");
    bench.clock.advance(7ms);
    bench.answer(bench.sent[0].receiver, EngineBench::answerBytes(2, "stray"));
    CHECK(recorder.times.empty());
    bench.answer(bench.sent[0].receiver, EngineBench::answerBytes(1, "right"));
    bench.request(2, "checkin");
    bench.answer(bench.sent.back().receiver, EngineBench::refusalBytes(2, "not_run"));
    CHECK(recorder.times == std::vector<std::chrono::nanoseconds> { 7ms });
}
