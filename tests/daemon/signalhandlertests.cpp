#include "daemon/signalhandler.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <csignal>

using namespace Samphirepitch;

TEST_CASE("a SIGHUP that arrives before signals are handled causes a reload and doesn't end the process", "[daemon][signals]")
{
    // Guards against a process that ends because its settings change just after its start.
    SignalHandler::holdReloads();
    REQUIRE(raise(SIGHUP) == 0);
    asio::io_context context(1);
    int stops = 0;
    int reloads = 0;
    SignalHandler signals(
        context.get_executor(), [&] { ++stops; }, [&] { ++stops; }, [&] { ++reloads; });
    context.poll();
    CHECK(reloads == 1);
    REQUIRE(raise(SIGHUP) == 0);
    context.poll();
    CHECK(reloads == 2);
    CHECK(stops == 0);
}
