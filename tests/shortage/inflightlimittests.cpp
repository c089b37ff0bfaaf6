#include "shortage/inflightlimit.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace Samphirepitch;

using std::chrono::milliseconds;

namespace
{

constexpr TimePoint start { milliseconds(10000) };

/** Ends the slow start of a limit with responses of 20 ms, all of it at the server. */
void warmUp(InFlightLimit &limit)
{
    for (int response = 0; response < 100; ++response) {
        limit.recordResponse(milliseconds(20), milliseconds(20));
    }
}

} // namespace

TEST_CASE("a share below one request is kept on average, so that many instances don't add up to full servers", "[shortage]")
{
    InFlightLimit limit;
    warmUp(limit);
    limit.setShare(4, 0.05, 0, {}); // 0.2 slots
    CHECK(limit.limit() == Approx(0.2 * InFlightLimit::maxInFlightPerSlot));
    std::size_t inFlight = 0;
    std::size_t started = 0;
    std::deque<TimePoint> ends;
    for (TimePoint now = start; now < start + std::chrono::seconds(10); now += milliseconds(1)) {
        while (!ends.empty() && ends.front() <= now) {
            ends.pop_front();
            --inFlight;
        }
        if (limit.mayStart(inFlight, now)) {
            limit.recordStart(inFlight, now);
            ends.push_back(now + milliseconds(20));
            ++inFlight;
            ++started;
        }
    }
    const double expected = 0.2 * InFlightLimit::maxInFlightPerSlot / 0.020 * 10;
    CHECK(static_cast<double>(started) == Approx(expected).epsilon(0.05));
}

TEST_CASE("slow servers get fewer requests for each slot, so that the wait there does not cost the target latency", "[shortage]")
{
    InFlightLimit limit;
    for (int response = 0; response < 100; ++response) {
        limit.recordResponse(milliseconds(80), milliseconds(80));
    }
    limit.setShare(10, 1, 1, milliseconds(250));
    CHECK(limit.limit() == Approx(10 * 250 * InFlightLimit::targetPart / 80).epsilon(0.01));
    CHECK(limit.isUseful());
    limit.setShare(10, 1, 1, milliseconds(150)); // the work alone takes most of it, so that a wait would only make responses later
    CHECK_FALSE(limit.isUseful());
}

TEST_CASE("after a start, few requests are in flight until responses come in time", "[shortage]")
{
    InFlightLimit limit;
    limit.setShare(240, 1, 0, {}); // no other instance is known yet
    CHECK(limit.mayStart(7, start));
    CHECK_FALSE(limit.mayStart(8, start));
    limit.recordResponse(milliseconds(20), milliseconds(18));
    CHECK(limit.mayStart(8, start));
    CHECK_FALSE(limit.mayStart(9, start));
    SECTION("responses that take much longer don't widen it")
    {
        for (int response = 0; response < 50; ++response) {
            limit.recordResponse(milliseconds(400), milliseconds(398));
        }
        CHECK(limit.limit() < 18);
    }
    SECTION("a rejection by a full server, which comes at once, does not keep it open for ever")
    {
        InFlightLimit rejected;
        rejected.setShare(240, 1, 0, {});
        rejected.recordResponse(milliseconds(2), milliseconds(0));
        for (int response = 0; response < 300; ++response) {
            rejected.recordResponse(milliseconds(20), milliseconds(18));
        }
        CHECK_FALSE(rejected.isStarting());
    }
    SECTION("it ends after some tens of responses in time")
    {
        warmUp(limit);
        CHECK_FALSE(limit.isStarting());
        CHECK(limit.limit() > 240);
    }
}
