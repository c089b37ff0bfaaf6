#include "stream/serverevidence.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

using std::chrono::milliseconds;

namespace
{

const TimePoint start = TimePoint() + std::chrono::seconds(100);
constexpr std::uint32_t server = 7;

} // namespace

TEST_CASE("an unanswered packet casts doubt for a while and an answer removes it", "[stream][evidence]")
{
    ServerEvidence evidence;
    CHECK(evidence.unanswered(server, start));
    CHECK_FALSE(evidence.unanswered(server, start + milliseconds(1)));
    CHECK(evidence.standing(server, start + milliseconds(1000)) == Standing::Suspected);
    CHECK(evidence.standing(server, start + milliseconds(1300)) == Standing::Trusted);
    evidence.unanswered(server, start);
    evidence.progress(server, start + milliseconds(10));
    CHECK(evidence.standing(server, start + milliseconds(10)) == Standing::Trusted);
    CHECK(evidence.takeDueProbes(start + milliseconds(10)).empty());
}

TEST_CASE("one server is looked into at bounded intervals, however many flows ask", "[stream][evidence]")
{
    // Connections are priced, and a slow server has many late answers.
    ServerEvidence evidence;
    std::size_t probes = 0;
    for (int step = 0; step < 1000; ++step) {
        evidence.overdue(server);
        probes += evidence.takeDueProbes(start + milliseconds(step)).size();
    }
    CHECK(probes == 7);
}

TEST_CASE("servers beyond the limit of connections stay due", "[stream][evidence]")
{
    // Answers the pattern of a domain whose servers all end at once: those beyond the limit were taken as asked, and their flows
    // waited for the clients to repeat.
    ServerEvidence evidence;
    for (std::uint32_t token = 1; token <= 100; ++token) {
        evidence.overdue(token);
    }
    CHECK(evidence.takeDueProbes(start, 64).size() == 64);
    CHECK(evidence.takeDueProbes(start, 0).empty());
    CHECK(evidence.takeDueProbes(start + milliseconds(25), 64).size() == 36);
}

TEST_CASE("only a refused connection or an end for certain makes a server gone", "[stream][evidence]")
{
    ServerEvidence evidence;
    CHECK(evidence.connected(server, ConnectResult::Unanswered, start, start));
    CHECK(evidence.standing(server, start) == Standing::Unreachable);
    CHECK(evidence.connected(server, ConnectResult::Refused, start, start));
    CHECK(evidence.standing(server, start) == Standing::Gone);
    CHECK_FALSE(evidence.ended(server, start));
    CHECK(ServerEvidence().standing(server, start) == Standing::Trusted);
}

TEST_CASE("neither late acknowledgements nor an accepted connection alone revive a server that is gone", "[stream][evidence]")
{
    // Found by the soak (seeds 104, 108, 109, 119): the connection was accepted by the next incarnation, whose flows then carried the
    // token of the one that had ended and were reset.
    const auto listed = [](std::uint32_t) { return true; };
    ServerEvidence evidence;
    evidence.ended(server, start);
    evidence.progress(server, start + milliseconds(5));
    CHECK(evidence.standing(server, start + milliseconds(5)) == Standing::Gone);
    CHECK_FALSE(evidence.connected(server, ConnectResult::Accepted, start + milliseconds(900), start + milliseconds(900)));
    CHECK(evidence.standing(server, start + milliseconds(900)) == Standing::Gone);
    CHECK(evidence.takeReturned(start + milliseconds(3300), listed).empty());
    CHECK(evidence.takeReturned(start + milliseconds(3400), [](std::uint32_t) { return false; }).empty());
    CHECK(evidence.takeReturned(start + milliseconds(3400), listed) == std::vector<std::uint32_t> { server });
    CHECK(evidence.standing(server, start + milliseconds(3400)) == Standing::Trusted);
}

TEST_CASE("a server is silent after two connections in a row without an answer in between", "[stream][evidence]")
{
    // One connection may be lost on its way although the server lives.
    ServerEvidence evidence;
    evidence.unanswered(server, start);
    evidence.connected(server, ConnectResult::Unanswered, start, start);
    CHECK(evidence.standing(server, start) == Standing::Unreachable);
    evidence.progress(server, start + milliseconds(20));
    evidence.connected(server, ConnectResult::Unanswered, start + milliseconds(200), start + milliseconds(200));
    evidence.unanswered(server, start + milliseconds(210));
    CHECK(evidence.standing(server, start + milliseconds(210)) == Standing::Unreachable);
    evidence.connected(server, ConnectResult::Unanswered, start + milliseconds(400), start + milliseconds(400));
    CHECK(evidence.standing(server, start + milliseconds(400)) == Standing::Silent);
    evidence.progress(server, start + milliseconds(500));
    CHECK(evidence.standing(server, start + milliseconds(500)) == Standing::Trusted);
}

TEST_CASE("connections that are not made leave a server unreachable as long as no client repeats", "[stream][evidence]")
{
    // Guards against resets of open flows of a busy server: when many instances look into it at once, its queue of new connections is full
    // and drops theirs, while it goes on to acknowledge what clients send.
    ServerEvidence evidence;
    for (int step = 0; step < 5; ++step) {
        const TimePoint at = start + milliseconds(200 * step);
        evidence.connected(server, ConnectResult::Unanswered, at, at);
        CHECK(evidence.standing(server, at) == Standing::Unreachable);
    }
    CHECK(evidence.unanswered(server, start + milliseconds(1000)));
    CHECK(evidence.standing(server, start + milliseconds(1000)) == Standing::Silent);
}

TEST_CASE("a report of another instance keeps new flows away until an own connection is accepted", "[stream][evidence]")
{
    ServerEvidence evidence;
    CHECK(evidence.reportedEnded(server));
    CHECK_FALSE(evidence.reportedEnded(server));
    CHECK(evidence.standing(server, start + std::chrono::seconds(50)) == Standing::Suspected);
    CHECK(evidence.failedConnection(server) == TimePoint());
    evidence.connected(server, ConnectResult::Accepted, start, start);
    CHECK(evidence.standing(server, start) == Standing::Trusted);
    CHECK_FALSE(evidence.isReportedEnded(server));
}

TEST_CASE("a connection tells about flows that were open when it was begun", "[stream][evidence]")
{
    // It may be refused a while after a later incarnation has opened flows.
    ServerEvidence evidence;
    evidence.connected(server, ConnectResult::Refused, start, start + milliseconds(100));
    CHECK(evidence.failedConnection(server) == start);
    evidence.connected(server, ConnectResult::Accepted, start + milliseconds(700), start + milliseconds(700));
    CHECK(evidence.failedConnection(server) == start);
    evidence.connected(server, ConnectResult::Refused, start + milliseconds(1400), start + milliseconds(1400));
    CHECK(evidence.failedConnection(server) == start + milliseconds(1400));
}

TEST_CASE("a flow at a server that is gone asks for a connection soon, at bounded intervals", "[stream][evidence]")
{
    ServerEvidence evidence;
    evidence.overdue(server);
    REQUIRE(evidence.takeDueProbes(start).size() == 1);
    evidence.connected(server, ConnectResult::Refused, start, start + milliseconds(5));
    std::size_t probes = 0;
    for (int step = 6; step < 500; ++step) {
        evidence.recheck(server);
        probes += evidence.takeDueProbes(start + milliseconds(step)).size();
    }
    CHECK(probes == 3);
}

TEST_CASE("an inconclusive connection changes no standing and is made again", "[stream][evidence]")
{
    ServerEvidence evidence;
    evidence.connected(server, ConnectResult::Unanswered, start, start);
    CHECK_FALSE(evidence.connected(server, ConnectResult::Inconclusive, start + milliseconds(200), start + milliseconds(200)));
    CHECK(evidence.standing(server, start + milliseconds(200)) == Standing::Unreachable);
    CHECK(evidence.takeDueProbes(start + milliseconds(350)).size() == 1);
}

TEST_CASE("a server that is gone and refuses again does not return", "[stream][evidence]")
{
    ServerEvidence evidence;
    evidence.ended(server, start);
    evidence.connected(server, ConnectResult::Accepted, start + milliseconds(900), start + milliseconds(900));
    evidence.connected(server, ConnectResult::Refused, start + milliseconds(1600), start + milliseconds(1600));
    CHECK(evidence.takeReturned(start + milliseconds(9000), [](std::uint32_t) { return true; }).empty());
}

TEST_CASE("an unreachable server is tried again without clients until it answers", "[stream][evidence]")
{
    ServerEvidence evidence;
    evidence.unanswered(server, start);
    REQUIRE(evidence.takeDueProbes(start).size() == 1);
    evidence.connected(server, ConnectResult::Unanswered, start + milliseconds(120), start + milliseconds(120));
    CHECK(evidence.takeDueProbes(start + milliseconds(169)).empty());
    CHECK(evidence.takeDueProbes(start + milliseconds(170)).size() == 1);
    evidence.connected(server, ConnectResult::Unanswered, start + milliseconds(290), start + milliseconds(290));
    CHECK(evidence.takeDueProbes(start + milliseconds(900)).empty());
    CHECK(evidence.takeDueProbes(start + milliseconds(1000)).size() == 1);
    evidence.connected(server, ConnectResult::Accepted, start + milliseconds(1400), start + milliseconds(1400));
    CHECK(evidence.standing(server, start + milliseconds(1400)) == Standing::Trusted);
    CHECK(evidence.takeDueProbes(start + milliseconds(3000)).empty());
}

TEST_CASE("a new incarnation starts without the record of the earlier one", "[stream][evidence]")
{
    ServerEvidence evidence;
    evidence.ended(server, start);
    evidence.forget(server);
    CHECK(evidence.standing(server, start) == Standing::Trusted);
}
