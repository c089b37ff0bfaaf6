#include "objectstore/timer.h"

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Samphirepitch;

namespace
{

/** A clock that is ahead of the timers of the system, like that of a machine that was suspended. */
class AheadClock : public SteadyClock
{
public:
    TimePoint now() const override
    {
        return SteadyClock::now() + std::chrono::hours(1);
    }
};

} // namespace

TEST_CASE("a timer waits by the clock of its caller", "[objectstore][timer]")
{
    // Guards against waits that last as long as the machine was suspended.
    asio::io_context context;
    AheadClock clock;
    SteadyTimer timer(clock);
    bool done = false;
    asio::co_spawn(
        context, timer.waitUntil(clock.now() + std::chrono::milliseconds(1)), [&done](const std::exception_ptr &) { done = true; });
    context.run_for(std::chrono::seconds(20));
    CHECK(done);
}
