#include "core/random.h"
#include "loadreport/loadreporter.h"
#include "loadreport/loadreports.h"
#include "loadreport/peerloadreport.h"

#include <catch2/catch.hpp>

#include <limits>
#include <set>

using namespace Samphirepitch;

using std::chrono::milliseconds;

namespace
{

const TimePoint start = TimePoint() + std::chrono::hours(1);

PeerLoadReport serviceReport(double inFlight, double requestsPerSecond, TimePoint madeAt)
{
    const ServiceLoad load { .service = PeerLoadReport::hashOf("orders"), .inFlight = inFlight, .requestsPerSecond = requestsPerSecond };
    return { .services = { load }, .madeAt = madeAt };
}

PeerLoadReport timesReport(const std::vector<double> &times, TimePoint madeAt)
{
    PeerLoadReport report { .madeAt = madeAt };
    for (std::uint32_t index = 0; index < times.size(); ++index) {
        report.servers.push_back({ PeerLoadReport::hashOf(index + 1), 2, times[index] });
    }
    return report;
}

const std::vector<std::uint32_t> eightTokens { 1, 2, 3, 4, 5, 6, 7, 8 };

} // namespace

TEST_CASE("figures that are odd or too large do not spoil the rest of a report", "[loadreport]")
{
    PeerLoadReport report;
    report.services = { { .service = 7, .inFlight = -3, .requestsPerSecond = 1e12, .held = std::numeric_limits<double>::quiet_NaN() },
        { .service = 8, .inFlight = 2.5, .requestsPerSecond = 40, .held = 3, .responseMs = 18.2, .earlyShare = 1 } };
    report.servers = { { 5, 0, 0 }, { 6, 900, 1e9 }, { 7, 2, 32 } };
    const PeerLoadReport read = PeerLoadReport::decode(report.encode(), start);
    REQUIRE(read.services.size() == 2);
    CHECK(read.services[0] == ServiceLoad { .service = 7, .requestsPerSecond = 6553.5 });
    CHECK(read.services[1] == report.services[1]);
    REQUIRE(read.servers.size() == 3);
    CHECK(read.servers[0] == ServerLoad { 5, 1, 1 });
    CHECK(read.servers[1].responses == 4);
    CHECK(read.servers[1].responseMs == Approx(1448).epsilon(0.01));
    CHECK(read.servers[2] == report.servers[2]);
}

TEST_CASE("a report never exceeds its size, and unknown or damaged bytes give no report", "[loadreport]")
{
    PeerLoadReport report;
    report.services.resize(9);
    report.servers.resize(500);
    const std::string bytes = report.encode();
    CHECK(bytes.size() <= PeerLoadReport::maxSize);
    CHECK(PeerLoadReport::decode(bytes, start).servers.size() == PeerLoadReport::serverCapacity(4));
    CHECK(PeerLoadReport::decode(std::string_view(bytes).substr(0, bytes.size() - 1), start).isEmpty());
    CHECK(PeerLoadReport::decode('\x02' + bytes.substr(1), start).isEmpty());
    CHECK(PeerLoadReport::decode("\x01\xff", start).isEmpty());
    CHECK(PeerLoadReport::decode("", start).isEmpty());
    CHECK(PeerLoadReport().encode().empty());
}

TEST_CASE("estimates use the newest report of each instance and none that is older than 1.5 s", "[loadreport]")
{
    LoadReports reports;
    CHECK_FALSE(reports.serviceLoad("orders", start));
    reports.record("a", serviceReport(9, 90, start), start);
    reports.record("a", serviceReport(2, 20, start + milliseconds(500)), start + milliseconds(500));
    reports.record("a", serviceReport(9, 90, start + milliseconds(100)), start + milliseconds(600)); // overtaken on the way
    reports.record("b", serviceReport(4, 60, start + milliseconds(1000)), start + milliseconds(1000));
    reports.record("c", PeerLoadReport(), start + milliseconds(1000)); // an instance of an earlier build
    const ServiceLoadEstimate both { .inFlight = 3, .requestsPerSecond = 40, .reports = 2, .oldest = start + milliseconds(500) };
    CHECK(reports.serviceLoad("orders", start + milliseconds(1999)) == both);
    CHECK(reports.serviceLoad("orders", start + milliseconds(2000))->reports == 1);
    CHECK_FALSE(reports.serviceLoad("orders", start + milliseconds(2500)));
    CHECK_FALSE(reports.serviceLoad("unknown", start + milliseconds(1999)));
}

TEST_CASE("servers are slow by pooled times even when most of them turn slow at once", "[loadreport]")
{
    LoadReports reports;
    // Five of eight servers take three times as long, so that the median server is slow itself.
    const std::vector<double> times { 20, 20, 20, 60, 60, 60, 60, 60 };
    reports.record("a", timesReport(times, start), start);
    CHECK(reports.compareServers(eightTokens, start) == std::vector<double>(8, 1)); // 2 responses of each are too few
    reports.record("b", timesReport(times, start), start);
    const std::vector<double> slowdowns = reports.compareServers(eightTokens, start);
    CHECK(slowdowns[0] == 1);
    CHECK(slowdowns[3] == Approx(3));
    CHECK(slowdowns[7] == Approx(3));
    CHECK(reports.compareServers(eightTokens, start + LoadReports::lifetime) == std::vector<double>(8, 1));
}

TEST_CASE("own times alone make no server slow", "[loadreport]")
{
    LoadReports reports;
    PeerLoadReport own = timesReport({ 20, 20, 20, 60, 60, 60, 60, 60 }, start);
    for (ServerLoad &server : own.servers) {
        server.responses = 50;
    }
    reports.recordOwn(own.servers, start);
    CHECK(reports.compareServers(eightTokens, start) == std::vector<double>(8, 1));
}

TEST_CASE("responses that are likely rejections do not make a full server look fast", "[loadreport]")
{
    LoadReporter reporter;
    TimePoint now = start;
    for (int index = 0; index < 20; ++index) {
        now += milliseconds(10);
        reporter.recordResponse("orders", 1, milliseconds(20), now);
        reporter.recordResponse("orders", 2, milliseconds(2), now);
    }
    reporter.recordOverdueResponse(3, now);
    const PeerLoadReport report = reporter.makeReport({ { .service = PeerLoadReport::hashOf("orders") } }, now);
    REQUIRE(report.servers.size() == 2);
    for (const ServerLoad &server : report.servers) {
        CHECK(server.responseMs == Approx(server.server == PeerLoadReport::hashOf(1) ? 20 : 90));
    }
    CHECK(report.services[0].earlyShare > 0.25);
    CHECK(reporter.earlyCount() == 20);
    CHECK(reporter.servers(now + LoadReporter::window).empty());
}

TEST_CASE("servers that do not fit into one report follow in the next ones", "[loadreport]")
{
    LoadReporter reporter;
    std::set<std::uint16_t> all;
    for (std::uint32_t token = 1; token <= 150; ++token) {
        reporter.recordResponse("orders", token, milliseconds(token % 7 == 0 ? 60 : 20), start);
        all.insert(PeerLoadReport::hashOf(token));
    }
    std::set<std::uint16_t> reported;
    for (int round = 0; round < 3; ++round) {
        for (const ServerLoad &server : reporter.makeReport({ {} }, start).servers) {
            reported.insert(server.server);
        }
    }
    CHECK(reported == all);
}
