#include "daemon/supervisor.h"

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace Samphirepitch;

namespace
{

class EventNameRecorder : public EventSink
{
public:
    void record(EventSeverity, std::string_view name, std::vector<EventField>) override
    {
        names.emplace_back(name);
    }

    std::vector<std::string> names;
};

/** A supervisor whose children record their starts and ends. */
class SupervisorFixture
{
protected:
    asio::io_context context;
    ManualClock clock;
    EventNameRecorder events;
    std::vector<std::string> calls;
    std::optional<Result<void>> result;
    Supervisor supervisor { "root", context.get_executor(), clock, events, { .restarts = 3 } };

    Supervisor::Task untilCancelled(std::string name)
    {
        calls.push_back("start " + name);
        asio::steady_timer timer(context, asio::steady_timer::time_point::max());
        try {
            co_await timer.async_wait(asio::use_awaitable);
        } catch (const std::system_error &) {
            calls.push_back("end " + name);
        }
        co_return Result<void>();
    }

    Supervisor::Task failing(int &starts)
    {
        ++starts;
        co_return failure(ErrorKind::InputOutput, "socket", "lost");
    }

    Supervisor::Task throwing()
    {
        throw std::runtime_error("broken");
        co_return Result<void>();
    }

    void addUntilCancelled(const std::string &name)
    {
        supervisor.add({ .name = name, .start = [this, name] { return untilCancelled(name); } });
    }

    void run()
    {
        asio::co_spawn(context, supervisor.run(), [this](const std::exception_ptr &, Result<void> outcome) { result = outcome; });
        context.poll();
    }
};

} // namespace

TEST_CASE_METHOD(SupervisorFixture, "children start in order and stop in reverse order", "[daemon][supervisor]")
{
    // Guards against sockets that are closed before the tasks that use them end.
    addUntilCancelled("platform");
    addUntilCancelled("peers");
    addUntilCancelled("data");
    run();
    CHECK_FALSE(result.has_value());
    supervisor.requestStop(clock.now() + std::chrono::seconds(5));
    context.restart();
    context.poll();
    REQUIRE(result.has_value());
    CHECK(result->has_value());
    CHECK(calls == std::vector<std::string> { "start platform", "start peers", "start data", "end data", "end peers", "end platform" });
}

TEST_CASE_METHOD(
    SupervisorFixture, "a child that keeps failing fails its supervisor after the maximum number of restarts", "[daemon][supervisor]")
{
    // Guards against an endless restart loop, and against a first failure that stops the other tasks at once.
    int starts = 0;
    addUntilCancelled("peers");
    supervisor.add({ .name = "data", .start = [&] { return failing(starts); } });
    run();
    CHECK(starts == 4);
    REQUIRE(result.has_value());
    REQUIRE_FALSE(result->has_value());
    CHECK(result->error().subject() == "socket");
    CHECK(calls == std::vector<std::string> { "start peers", "end peers" });
    CHECK(std::count(events.names.begin(), events.names.end(), "task_restarted") == 3);
}

TEST_CASE_METHOD(SupervisorFixture, "restarts outside the restart window do not count", "[daemon][supervisor]")
{
    int starts = 0;
    asio::steady_timer *pendingTimer = nullptr;
    const auto waitForTimer = [&]() -> Supervisor::Task {
        ++starts;
        asio::steady_timer timer(context, asio::steady_timer::time_point::max());
        pendingTimer = &timer;
        co_await timer.async_wait(asio::use_awaitable);
        co_return Result<void>();
    };
    supervisor.add({ .name = "data", .start = waitForTimer });
    run();
    for (int index = 0; index < 10; ++index) {
        clock.advance(std::chrono::seconds(4));
        pendingTimer->cancel();
        context.restart();
        context.poll();
    }
    CHECK(starts == 11);
    CHECK_FALSE(result.has_value());
}

TEST_CASE_METHOD(SupervisorFixture, "an exception thrown by a child is a failure of the child", "[daemon][supervisor]")
{
    supervisor.add({ .name = "data", .start = [this] { return throwing(); }, .restart = Restart::Never });
    run();
    REQUIRE(result.has_value());
    REQUIRE_FALSE(result->has_value());
    CHECK(result->error().detail() == "broken");
}

TEST_CASE_METHOD(SupervisorFixture, "a child that does not end by the stop deadline is named in the error", "[daemon][supervisor]")
{
    // Guards against a stop that never ends.
    addUntilCancelled("peers");
    bool stopCalled = false;
    supervisor.add({ .name = "data", .start = [this] { return untilCancelled("data"); }, .stop = [&](TimePoint) { stopCalled = true; } });
    run();
    supervisor.requestStop(clock.now() + std::chrono::hours(1));
    context.restart();
    context.poll();
    CHECK(stopCalled);
    CHECK_FALSE(result.has_value());
    supervisor.requestStop(clock.now());
    context.restart();
    context.poll();
    REQUIRE(result.has_value());
    REQUIRE_FALSE(result->has_value());
    CHECK(result->error().kind() == ErrorKind::DeadlineExceeded);
    CHECK(result->error().subject() == "data peers");
}
