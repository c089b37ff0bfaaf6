#include "daemon/gracefulstop.h"
#include "daemon/signalhandler.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <csignal>

using namespace Samphirepitch;

TEST_CASE("a leaving instance ends after its last request and the linger time", "[daemon][stopplan]")
{
    // Guards invariant 7: a graceful stop interrupts no request.
    ManualClock clock;
    const auto updateAfter = [&clock](GracefulStop &gracefulStop, int ms, std::size_t pending) {
        clock.advance(std::chrono::milliseconds(ms));
        return gracefulStop.update(clock.now(), pending);
    };
    GracefulStop gracefulStop(clock.now(), std::chrono::seconds(10), std::chrono::seconds(1));
    CHECK(updateAfter(gracefulStop, 0, 0) == GracefulStop::Decision::Wait);
    CHECK(updateAfter(gracefulStop, 900, 1) == GracefulStop::Decision::Wait);
    CHECK(updateAfter(gracefulStop, 5000, 1) == GracefulStop::Decision::Wait);
    SECTION("requests finish")
    {
        CHECK(updateAfter(gracefulStop, 999, 0) == GracefulStop::Decision::Wait);
        CHECK(updateAfter(gracefulStop, 1, 0) == GracefulStop::Decision::End);
    }
    SECTION("a request is still pending at the deadline")
    {
        CHECK(updateAfter(gracefulStop, 4099, 1) == GracefulStop::Decision::Wait);
        CHECK(updateAfter(gracefulStop, 1, 1) == GracefulStop::Decision::EndAtDeadline);
        CHECK(clock.now() == gracefulStop.deadline());
    }
}

TEST_CASE("the first stop signal stops gracefully and the second stops at once", "[daemon][signalhandler]")
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
