#include "stream/loadmodel.h"
#include "stream/serverlatencytracker.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/** A LeastFlowsSelector that ignores slowdowns: the baseline. */
class LatencyUnawareSelector : public ServerSelector
{
public:
    std::optional<std::size_t> choose(const std::vector<StreamCandidate> &candidates, RandomSource &random) const override
    {
        std::vector<StreamCandidate> adjusted = candidates;
        for (StreamCandidate &candidate : adjusted) {
            candidate.slowdown = 1;
        }
        return m_selector.choose(adjusted, random);
    }

private:
    LeastFlowsSelector m_selector;
};

class LatencyFixture
{
public:
    /** Records responses of five servers: the first one takes @p first, the others 30 ms. */
    void recordResponses(int times, milliseconds first)
    {
        for (int round = 0; round < times; ++round) {
            for (const std::uint32_t token : tokens) {
                tracker.recordResponse(token, token == 1 ? first : milliseconds(30), now);
            }
        }
    }

    const std::vector<std::uint32_t> tokens { 1, 2, 3, 4, 5 };
    ServerLatencyTracker tracker;
    TimePoint now = TimePoint() + seconds(100);
};

constexpr std::size_t users = 160; // a third of what ten servers can handle
constexpr milliseconds runTime { 30000 };
constexpr milliseconds countedTime { 20000 };

ModelOutcome runModel(const ServerSelector &selector, ModelServer faulty, std::size_t faultyCount)
{
    std::vector<ModelServer> servers(10);
    std::fill_n(servers.begin(), faultyCount, faulty);
    return LoadModel(selector, servers, users, 20261204).run(runTime, countedTime);
}

} // namespace

TEST_CASE_METHOD(LatencyFixture, "a server that responds four times as late as the others counts as slow", "[stream][latencytracker]")
{
    recordResponses(20, milliseconds(120));
    const std::vector<double> slowdowns = tracker.compareServers(tokens, now);
    CHECK(slowdowns.front() > 2);
    CHECK(slowdowns.front() <= ServerLatencyTracker::maxSlowdown);
    CHECK(std::count(slowdowns.begin(), slowdowns.end(), 1.0) == 4);
}

TEST_CASE_METHOD(LatencyFixture, "a few long requests do not make a server slow", "[stream][latencytracker]")
{
    // One request in twenty may take many times longer than the rest.
    recordResponses(20, milliseconds(30));
    tracker.recordResponse(1, milliseconds(900), now);
    CHECK(tracker.compareServers(tokens, now).front() == 1);
}

TEST_CASE_METHOD(LatencyFixture, "servers count as alike if too few responses, or too few servers, are known", "[stream][latencytracker]")
{
    for (int round = 0; round < 5; ++round) {
        tracker.recordResponse(1, milliseconds(900), now);
    }
    CHECK(tracker.compareServers(tokens, now) == std::vector<double>(5, 1));
    tracker.recordResponse(1, milliseconds(900), now);
    CHECK(tracker.compareServers(tokens, now) == std::vector<double>(5, 1));
}

TEST_CASE_METHOD(LatencyFixture, "a service whose servers are all slow has no slow server", "[stream][latencytracker]")
{
    // At peak load all servers are slow, and there is no better server to choose.
    for (int round = 0; round < 20; ++round) {
        for (const std::uint32_t token : tokens) {
            tracker.recordResponse(token, milliseconds(400), now);
        }
    }
    CHECK(tracker.compareServers(tokens, now) == std::vector<double>(5, 1));
}

TEST_CASE_METHOD(LatencyFixture, "the slowdown of a slow server is gradually forgotten without responses", "[stream][latencytracker]")
{
    recordResponses(30, milliseconds(240));
    const double initial = tracker.compareServers(tokens, now).front();
    now += ServerLatencyTracker::halfLife;
    for (const std::uint32_t token : { 2, 3, 4, 5 }) {
        tracker.recordResponse(token, milliseconds(30), now);
    }
    const double later = tracker.compareServers(tokens, now).front();
    CHECK(later < initial);
    CHECK(later > 1);
    now += ServerLatencyTracker::estimateLifetime;
    CHECK_FALSE(tracker.medianMilliseconds(1, now).has_value());
    tracker.forget(2);
    CHECK_FALSE(tracker.medianMilliseconds(2, now).has_value());
}

TEST_CASE_METHOD(
    LatencyFixture, "requests that are not answered in time raise the estimate up to the overdue threshold", "[stream][latencytracker]")
{
    recordResponses(10, milliseconds(30));
    for (int round = 0; round < 50; ++round) {
        tracker.recordOverdueResponse(1, now);
    }
    CHECK(tracker.medianMilliseconds(1, now).value() >= 90);
    CHECK(tracker.medianMilliseconds(1, now).value() < 90 * (1 + ServerLatencyTracker::estimateStep));
}

TEST_CASE("slow servers get fewer flows, and fewer responses are late", "[stream][latencytracker][load]")
{
    // Servers may become four times slower while their health checks still succeed. The baseline is the same load on the same servers
    // without latency tracking.
    const ModelServer slow { .slowdown = 4 };
    const double lateShare = runModel(LeastFlowsSelector(), slow, 2).lateShare();
    const double baseline = runModel(LatencyUnawareSelector(), slow, 2).lateShare();
    CAPTURE(lateShare, baseline);
    CHECK(lateShare < 0.7 * baseline);
}

TEST_CASE("servers that leave requests without a response get fewer flows, and fewer requests fail", "[stream][latencytracker][load]")
{
    // Servers may leave some requests without a response while their health checks still succeed.
    const ModelServer unresponsive { .unansweredShare = 0.4 };
    const double failedShare = runModel(LeastFlowsSelector(), unresponsive, 2).failedShare();
    const double baseline = runModel(LatencyUnawareSelector(), unresponsive, 2).failedShare();
    CAPTURE(failedShare, baseline);
    CHECK(failedShare < 0.8 * baseline);
}

TEST_CASE("equal servers are treated alike with and without latency tracking", "[stream][latencytracker][load]")
{
    const double lateShare = runModel(LeastFlowsSelector(), {}, 0).lateShare();
    const double baseline = runModel(LatencyUnawareSelector(), {}, 0).lateShare();
    CAPTURE(lateShare, baseline);
    CHECK(lateShare < baseline + 0.01);
}
