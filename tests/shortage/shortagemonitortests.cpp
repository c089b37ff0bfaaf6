#include "shortage/shortagemonitor.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

using std::chrono::milliseconds;

namespace
{

constexpr TimePoint start { milliseconds(10000) };

} // namespace

TEST_CASE("a service becomes short at once and ample only after it was below the lower threshold for a while", "[shortage]")
{
    ShortageMonitor monitor;
    CHECK_FALSE(monitor.record(89, 100, start));
    CHECK(monitor.record(90, 100, start));
    CHECK_FALSE(monitor.record(65, 100, start + milliseconds(100))); // between the thresholds
    CHECK_FALSE(monitor.record(50, 100, start + milliseconds(200)));
    CHECK_FALSE(monitor.record(50, 100, start + milliseconds(1199)));
    CHECK(monitor.isShort(start + milliseconds(1199)));
    CHECK(monitor.record(50, 100, start + milliseconds(1200)));
    CHECK_FALSE(monitor.isShort(start + milliseconds(1200)));
}

TEST_CASE("a burst between two quiet moments restarts the delay, so that the state does not swing", "[shortage]")
{
    ShortageMonitor monitor;
    monitor.record(100, 100, start);
    monitor.record(50, 100, start + milliseconds(100));
    monitor.record(70, 100, start + milliseconds(900));
    monitor.record(50, 100, start + milliseconds(1000));
    monitor.record(50, 100, start + milliseconds(1900));
    CHECK(monitor.isShort(start + milliseconds(1900)));
}

TEST_CASE("a shortage ends by itself if nothing is recorded any more", "[shortage]")
{
    ShortageMonitor monitor;
    monitor.record(100, 100, start);
    CHECK(monitor.isShort(start + milliseconds(1499)));
    CHECK_FALSE(monitor.isShort(start + milliseconds(1500)));
}

TEST_CASE("a service without usable servers is not short, so that its requests are refused at once and not held", "[shortage]")
{
    ShortageMonitor monitor;
    CHECK_FALSE(monitor.record(10, 0, start));
    CHECK_FALSE(monitor.isShort(start));
}
