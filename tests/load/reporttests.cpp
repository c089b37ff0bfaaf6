#include "load/arrivalschedule.h"
#include "load/callermessage.h"
#include "load/report.h"

#include <catch2/catch.hpp>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>

using namespace Samphirepitch;

TEST_CASE("the report adds up the groups, and its summary line has the totals", "[load][report]")
{
    GroupStatistics keepers;
    keepers.name = "keepers";
    keepers.outcomes = { .served = 90, .failed = 1, .unknown = 2, .notRun = 3, .refused = 4, .wrongService = 0 };
    keepers.brokenFlows = 5;
    keepers.servedBy = { { "a", 60 }, { "b", 30 } };
    for (int index = 1; index <= 100; ++index) {
        keepers.shortLatency.record(std::chrono::milliseconds(index));
    }
    GroupStatistics tiles;
    tiles.name = "tiles";
    tiles.outcomes.served = 10;
    Report report("dewnet", 1);
    report.add(keepers);
    report.add(tiles);
    CHECK(report.summaryLine() == "load: served=100 failed=1 unknown=2 not_run=7 broken_flows=5 wrong_service=0");
    CHECK_FALSE(report.hasNoViolations());
    const auto json = nlohmann::json::parse(report.json());
    CHECK(json["total"]["outcomes"]["refused"] == 4);
    CHECK(json["groups"][0]["imbalance"].get<double>() == Approx(60.0 / 45));
    CHECK(json["groups"][0]["latency"]["p50_us"].get<double>() == Approx(50000).epsilon(0.03));
    CHECK(json["groups"][0]["latency"]["p99_us"].get<double>() == Approx(99000).epsilon(0.03));
    CHECK(report.table().find("keepers") != std::string::npos);
}

TEST_CASE("durations outside the range of the histogram count in the nearest bin", "[load][report]")
{
    LatencyHistogram latency;
    CHECK(latency.quantile(0.5) == std::chrono::microseconds(0));
    latency.record(std::chrono::nanoseconds(-5));
    latency.record(std::chrono::hours(1));
    CHECK(latency.count() == 2);
    CHECK(latency.quantile(0.1) == std::chrono::microseconds(1));
    CHECK(latency.quantile(1) == std::chrono::seconds(1000));
}

TEST_CASE("requests arrive at the base rate and the peak rate of each swing", "[load][arrivalschedule]")
{
    // Guards against coordinated omission: the schedule must depend only on the seed, not on responses.
    CallerProfile profile;
    profile.rate = 100;
    profile.peakRate = 1000;
    profile.swingPeriod = std::chrono::milliseconds(2000);
    SeededRandom random(20261204);
    const TimePoint start(std::chrono::seconds(5));
    ArrivalSchedule schedule(profile, start, random);
    int calm = 0;
    int peak = 0;
    for (; schedule.next() < start + std::chrono::seconds(20); schedule.advance()) {
        ++(schedule.isPeak(schedule.next()) ? peak : calm);
    }
    CHECK(calm == Approx(1000).epsilon(0.1));
    CHECK(peak == Approx(10000).epsilon(0.05));
    profile.rate = 0;
    profile.peakRate = 0;
    CHECK(ArrivalSchedule(profile, start, random).next() == TimePoint::max());
}

TEST_CASE("responses and seen notifications are decoded, other messages are not", "[load][callermessage]")
{
    msgpack::sbuffer buffer;
    const auto decode = [&buffer] { return CallerMessage::decode({ buffer.data(), buffer.size() }); };
    const std::map<std::string, std::string> error { { "outcome", "not_run" }, { "reason", "shed" } };
    SECTION("result")
    {
        const std::map<std::string, std::string> result { { "service", "127.10.0.1:7000" }, { "server", "s1" }, { "echo", "xyz" } };
        msgpack::pack(buffer, std::make_tuple(1, 9U, msgpack::type::nil_t(), result));
        const auto message = decode();
        REQUIRE(message.response.has_value());
        CHECK(message.response->kind == ResponseKind::Result);
        CHECK(message.response->id == 9);
        CHECK(message.response->body == "xyz");
    }
    SECTION("not run")
    {
        msgpack::pack(buffer, std::make_tuple(1, 9U, error, msgpack::type::nil_t()));
        CHECK(decode().response->kind == ResponseKind::NotRun);
    }
    SECTION("seen")
    {
        msgpack::pack(buffer, std::make_tuple(2, std::string("seen"), std::make_tuple(std::string("s1"), 4)));
        const auto message = decode();
        REQUIRE(message.seen.has_value());
        CHECK(message.seen->server == "s1");
        CHECK(message.seen->count == 4);
    }
    SECTION("malformed or other message")
    {
        msgpack::pack(buffer, std::make_tuple(1, 9U));
        CHECK_FALSE(decode().response.has_value());
        const auto request = encodeRequest(5, "checkin", 1000, "body");
        CHECK_FALSE(CallerMessage::decode(std::span(request).first(7)).response.has_value());
        CHECK_FALSE(CallerMessage::decode(request).response.has_value());
    }
}
