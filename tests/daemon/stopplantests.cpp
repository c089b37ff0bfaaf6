#include "daemon/signalhandler.h"
#include "daemon/stopplan.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <csignal>

using namespace Samphirepitch;

TEST_CASE("a leaving instance ends after its last request and the linger time", "[daemon][stopplan]")
{
    // Guards invariant 7: a planned stop interrupts no request.
    ManualClock clock;
    const auto step = [&clock](StopPlan &plan, int ms, std::size_t pending) {
        clock.advance(std::chrono::milliseconds(ms));
        return plan.update(clock.now(), pending);
    };
    StopPlan plan(clock.now(), std::chrono::seconds(10), std::chrono::seconds(1));
    CHECK(step(plan, 0, 0) == StopPlan::Step::Wait);
    CHECK(step(plan, 900, 1) == StopPlan::Step::Wait);
    CHECK(step(plan, 5000, 1) == StopPlan::Step::Wait);
    SECTION("requests finish")
    {
        CHECK(step(plan, 999, 0) == StopPlan::Step::Wait);
        CHECK(step(plan, 1, 0) == StopPlan::Step::End);
    }
    SECTION("a request is still pending at the deadline")
    {
        CHECK(step(plan, 4099, 1) == StopPlan::Step::Wait);
        CHECK(step(plan, 1, 1) == StopPlan::Step::EndLate);
        CHECK(clock.now() == plan.deadline());
    }
}

TEST_CASE("the first stop signal is graceful and the second ends at once", "[daemon][signalhandler]")
{
    asio::io_context context;
    std::string calls;
    SignalHandler handler(
        context.get_executor(), [&] { calls += "stop "; }, [&] { calls += "now "; }, [&] { calls += "reload "; });
    handler.handle(SIGHUP);
    handler.handle(SIGTERM);
    handler.handle(SIGHUP);
    handler.handle(SIGINT);
    CHECK(calls == "reload stop reload now ");
}
