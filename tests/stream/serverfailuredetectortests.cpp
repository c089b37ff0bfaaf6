#include "stream/serverfailuredetector.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

using std::chrono::milliseconds;

namespace
{

const TimePoint start = TimePoint() + std::chrono::seconds(100);
constexpr std::uint32_t server = 7;
constexpr std::uint32_t otherServer = 8;

/** Records that a probe of the server, started and timed out at @p at, failed although another server answered a probe meanwhile. */
bool recordComparedTimeout(ServerFailureDetector &detector, TimePoint at)
{
    detector.recordProbeResult(otherServer, ConnectResult::Accepted, at, at);
    return detector.recordProbeResult(server, ConnectResult::Unanswered, at, at);
}

} // namespace

TEST_CASE("an unanswered packet makes a server suspected for a while, or until it responds", "[stream][failuredetector]")
{
    ServerFailureDetector detector;
    CHECK(detector.recordRetransmission(server, start));
    CHECK_FALSE(detector.recordRetransmission(server, start + milliseconds(1)));
    CHECK(detector.status(server, start + milliseconds(1000)) == ServerStatus::Suspected);
    CHECK(detector.status(server, start + milliseconds(1300)) == ServerStatus::Trusted);
    detector.recordRetransmission(server, start);
    detector.recordResponse(server, start + milliseconds(10));
    CHECK(detector.status(server, start + milliseconds(10)) == ServerStatus::Trusted);
    CHECK(detector.takeDueProbes(start + milliseconds(10)).empty());
}

TEST_CASE("a server is probed at bounded intervals, however many flows request it", "[stream][failuredetector]")
{
    // Probe connections have a cost, and a slow server has many overdue responses.
    ServerFailureDetector detector;
    std::size_t probes = 0;
    for (int step = 0; step < 1000; ++step) {
        detector.requestProbe(server);
        probes += detector.takeDueProbes(start + milliseconds(step)).size();
    }
    CHECK(probes == 7);
}

TEST_CASE("servers beyond the limit of probe connections stay due for a probe", "[stream][failuredetector]")
{
    // If all servers of a failure domain end at once, more probes are due than the limit allows. Those beyond it were once dropped, so that
    // the flows of these servers had to wait for retransmissions.
    ServerFailureDetector detector;
    for (std::uint32_t token = 1; token <= 100; ++token) {
        detector.requestProbe(token);
    }
    CHECK(detector.takeDueProbes(start, 64).size() == 64);
    CHECK(detector.takeDueProbes(start, 0).empty());
    CHECK(detector.takeDueProbes(start + milliseconds(25), 64).size() == 36);
}

TEST_CASE("a server is gone after a refused probe connection or a proven end, not after a timeout", "[stream][failuredetector]")
{
    ServerFailureDetector detector;
    CHECK(detector.recordProbeResult(server, ConnectResult::Unanswered, start, start));
    CHECK(detector.status(server, start) == ServerStatus::Unreachable);
    CHECK(detector.recordProbeResult(server, ConnectResult::Refused, start, start));
    CHECK(detector.status(server, start) == ServerStatus::Gone);
    CHECK_FALSE(detector.recordProvenEnd(server, start));
    CHECK(ServerFailureDetector().status(server, start) == ServerStatus::Trusted);
}

TEST_CASE("a gone server is trusted again only if it accepts a connection and stays listed", "[stream][failuredetector]")
{
    // Regression test (soak seeds 104, 108, 109, 119): the probe was accepted by the next incarnation, whose flows then got the token
    // of the one that had ended and were reset.
    const auto listed = [](std::uint32_t) { return true; };
    ServerFailureDetector detector;
    detector.recordProvenEnd(server, start);
    detector.recordResponse(server, start + milliseconds(5));
    CHECK(detector.status(server, start + milliseconds(5)) == ServerStatus::Gone);
    CHECK_FALSE(detector.recordProbeResult(server, ConnectResult::Accepted, start + milliseconds(900), start + milliseconds(900)));
    CHECK(detector.status(server, start + milliseconds(900)) == ServerStatus::Gone);
    CHECK(detector.takeRecovered(start + milliseconds(3300), listed).empty());
    CHECK(detector.takeRecovered(start + milliseconds(3400), [](std::uint32_t) { return false; }).empty());
    CHECK(detector.takeRecovered(start + milliseconds(3400), listed) == std::vector<std::uint32_t> { server });
    CHECK(detector.status(server, start + milliseconds(3400)) == ServerStatus::Trusted);
}

TEST_CASE("a server is silent after two probe connections in a row time out without a response in between", "[stream][failuredetector]")
{
    // A single probe may be lost in the network although the server runs.
    ServerFailureDetector detector;
    detector.recordRetransmission(server, start);
    recordComparedTimeout(detector, start);
    CHECK(detector.status(server, start) == ServerStatus::Unreachable);
    detector.recordResponse(server, start + milliseconds(20));
    recordComparedTimeout(detector, start + milliseconds(200));
    detector.recordRetransmission(server, start + milliseconds(210));
    CHECK(detector.status(server, start + milliseconds(210)) == ServerStatus::Unreachable);
    recordComparedTimeout(detector, start + milliseconds(400));
    CHECK(detector.status(server, start + milliseconds(400)) == ServerStatus::Silent);
    detector.recordResponse(server, start + milliseconds(500));
    CHECK(detector.status(server, start + milliseconds(500)) == ServerStatus::Trusted);
}

TEST_CASE("probe connections that time out make a server unreachable, but not silent unless a client repeats a packet",
    "[stream][failuredetector]")
{
    // Guards against resets of open flows of a busy server: if many instances probe it at once, its listen queue is full and drops their
    // connections, while it still acknowledges the packets of clients.
    ServerFailureDetector detector;
    for (int step = 0; step < 5; ++step) {
        const TimePoint at = start + milliseconds(200 * step);
        recordComparedTimeout(detector, at);
        CHECK(detector.status(server, at) == ServerStatus::Unreachable);
    }
    CHECK(detector.recordRetransmission(server, start + milliseconds(1000)));
    CHECK(detector.status(server, start + milliseconds(1000)) == ServerStatus::Silent);
}

TEST_CASE("probe connections that time out while no other server answers make no server silent", "[stream][failuredetector]")
{
    // Guards against resets of open flows of running servers by an instance whose own link or processor delays probes and packets.
    ServerFailureDetector detector;
    detector.recordProbeResult(otherServer, ConnectResult::Accepted, start, start + milliseconds(3));
    for (int step = 1; step < 6; ++step) {
        const TimePoint at = start + milliseconds(200 * step);
        detector.recordRetransmission(server, at);
        detector.recordProbeResult(server, ConnectResult::Unanswered, at, at + milliseconds(120));
        CHECK(detector.status(server, at + milliseconds(120)) == ServerStatus::Unreachable);
    }
    CHECK(detector.lastFailedProbe(server) == TimePoint());
}

TEST_CASE("a retransmission before an answered probe connection doesn't corroborate later timeouts", "[stream][failuredetector]")
{
    // Guards against resets of open flows of a running server because of one packet that was lost long ago.
    ServerFailureDetector detector;
    detector.recordRetransmission(server, start);
    detector.recordProbeResult(server, ConnectResult::Accepted, start + milliseconds(5), start + milliseconds(8));
    recordComparedTimeout(detector, start + milliseconds(10000));
    recordComparedTimeout(detector, start + milliseconds(10170));
    CHECK(detector.status(server, start + milliseconds(10170)) == ServerStatus::Unreachable);
}

TEST_CASE("a server that another instance reports is suspected until a probe connection of this instance is accepted",
    "[stream][failuredetector]")
{
    ServerFailureDetector detector;
    CHECK(detector.recordReportedEnd(server));
    CHECK_FALSE(detector.recordReportedEnd(server));
    CHECK(detector.status(server, start + std::chrono::seconds(50)) == ServerStatus::Suspected);
    CHECK(detector.lastFailedProbe(server) == TimePoint());
    detector.recordProbeResult(server, ConnectResult::Accepted, start, start);
    CHECK(detector.status(server, start) == ServerStatus::Trusted);
    CHECK_FALSE(detector.isEndReported(server));
}

TEST_CASE("a failed probe connection proves something only about flows that were open before it started", "[stream][failuredetector]")
{
    // The refusal may arrive after a later incarnation has opened flows.
    ServerFailureDetector detector;
    detector.recordProbeResult(server, ConnectResult::Refused, start, start + milliseconds(100));
    CHECK(detector.lastFailedProbe(server) == start);
    detector.recordProbeResult(server, ConnectResult::Accepted, start + milliseconds(700), start + milliseconds(700));
    CHECK(detector.lastFailedProbe(server) == start);
    detector.recordProbeResult(server, ConnectResult::Refused, start + milliseconds(1400), start + milliseconds(1400));
    CHECK(detector.lastFailedProbe(server) == start + milliseconds(1400));
}

TEST_CASE("a flow on a server that is gone expedites the next probe connection, at bounded intervals", "[stream][failuredetector]")
{
    ServerFailureDetector detector;
    detector.requestProbe(server);
    REQUIRE(detector.takeDueProbes(start).size() == 1);
    detector.recordProbeResult(server, ConnectResult::Refused, start, start + milliseconds(5));
    std::size_t probes = 0;
    for (int step = 6; step < 500; ++step) {
        detector.expediteProbe(server);
        probes += detector.takeDueProbes(start + milliseconds(step)).size();
    }
    CHECK(probes == 3);
}

TEST_CASE("an inconclusive probe connection changes no status and is attempted again", "[stream][failuredetector]")
{
    ServerFailureDetector detector;
    detector.recordProbeResult(server, ConnectResult::Unanswered, start, start);
    CHECK_FALSE(detector.recordProbeResult(server, ConnectResult::Inconclusive, start + milliseconds(200), start + milliseconds(200)));
    CHECK(detector.status(server, start + milliseconds(200)) == ServerStatus::Unreachable);
    CHECK(detector.takeDueProbes(start + milliseconds(350)).size() == 1);
}

TEST_CASE("a gone server that refuses probe connections again stays gone", "[stream][failuredetector]")
{
    ServerFailureDetector detector;
    detector.recordProvenEnd(server, start);
    detector.recordProbeResult(server, ConnectResult::Accepted, start + milliseconds(900), start + milliseconds(900));
    detector.recordProbeResult(server, ConnectResult::Refused, start + milliseconds(1600), start + milliseconds(1600));
    CHECK(detector.takeRecovered(start + milliseconds(9000), [](std::uint32_t) { return true; }).empty());
}

TEST_CASE("an unreachable server is probed again without any packets of clients until it accepts", "[stream][failuredetector]")
{
    ServerFailureDetector detector;
    detector.recordRetransmission(server, start);
    REQUIRE(detector.takeDueProbes(start).size() == 1);
    detector.recordProbeResult(server, ConnectResult::Unanswered, start + milliseconds(120), start + milliseconds(120));
    CHECK(detector.takeDueProbes(start + milliseconds(169)).empty());
    CHECK(detector.takeDueProbes(start + milliseconds(170)).size() == 1);
    detector.recordProbeResult(server, ConnectResult::Unanswered, start + milliseconds(290), start + milliseconds(290));
    CHECK(detector.takeDueProbes(start + milliseconds(339)).empty());
    CHECK(detector.takeDueProbes(start + milliseconds(340)).size() == 1);
    detector.recordProbeResult(server, ConnectResult::Unanswered, start + milliseconds(460), start + milliseconds(460));
    CHECK(detector.takeDueProbes(start + milliseconds(1159)).empty());
    CHECK(detector.takeDueProbes(start + milliseconds(1160)).size() == 1);
    detector.recordProbeResult(server, ConnectResult::Accepted, start + milliseconds(1400), start + milliseconds(1400));
    CHECK(detector.status(server, start + milliseconds(1400)) == ServerStatus::Trusted);
    CHECK(detector.takeDueProbes(start + milliseconds(3000)).empty());
}

TEST_CASE("a timeout that can't be compared doesn't delay the probes that decide about silence", "[stream][failuredetector]")
{
    // Guards against requests that wait for a lost server: the first probe follows an overdue response, before any client repeats a packet.
    ServerFailureDetector detector;
    detector.requestProbe(server);
    REQUIRE(detector.takeDueProbes(start) == std::vector<std::uint32_t> { server });
    detector.recordProbeResult(server, ConnectResult::Unanswered, start, start + milliseconds(120));
    detector.recordRetransmission(server, start + milliseconds(150));
    int probes = 0;
    for (int time = 151; time < 700 && detector.status(server, start + milliseconds(time)) != ServerStatus::Silent; ++time) {
        const TimePoint probeStart = start + milliseconds(time);
        if (detector.takeDueProbes(probeStart).empty()) {
            continue;
        }
        ++probes;
        time += 120;
        detector.recordProbeResult(otherServer, ConnectResult::Accepted, probeStart, probeStart + milliseconds(1));
        detector.recordProbeResult(server, ConnectResult::Unanswered, probeStart, start + milliseconds(time));
    }
    CHECK(probes == 2);
    CHECK(detector.status(server, start + milliseconds(700)) == ServerStatus::Silent);
}

TEST_CASE("a new incarnation starts without the status record of the earlier one", "[stream][failuredetector]")
{
    ServerFailureDetector detector;
    detector.recordProvenEnd(server, start);
    detector.forget(server);
    CHECK(detector.status(server, start) == ServerStatus::Trusted);
}
