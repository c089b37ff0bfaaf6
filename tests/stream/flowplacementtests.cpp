#include "stream/flowplacement.h"
#include "stream/routerfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;

namespace
{

/** A LeastFlowsSelector that records the largest number of candidates it was given. */
class CountingSelector : public ServerSelector
{
public:
    std::optional<std::size_t> choose(const std::vector<StreamCandidate> &candidates, RandomSource &random) const override
    {
        maxCandidates = std::max(maxCandidates, candidates.size());
        return m_selector.choose(candidates, random);
    }

    mutable std::size_t maxCandidates = 0;

private:
    LeastFlowsSelector m_selector;
};

/** Forbids the servers of one failure domain. */
class DomainPolicy : public PlacementPolicy
{
public:
    std::string_view name() const override
    {
        return "domain";
    }

    PlacementVerdict judge(const DirectoryRecord &server, const NewFlow &flow, TimePoint now) const override
    {
        static_cast<void>(flow);
        static_cast<void>(now);
        return server.server.failureDomain == forbidden ? PlacementVerdict::Forbidden : PlacementVerdict::Allowed;
    }

    std::string forbidden;
};

/** Says of some servers that they take three times as long as the fastest. */
class SlowServers : public SlowdownView
{
public:
    std::vector<double> compareServers(const std::vector<std::uint32_t> &tokens, TimePoint now) const override
    {
        static_cast<void>(now);
        std::vector<double> slowdowns;
        for (const std::uint32_t token : tokens) {
            slowdowns.push_back(slow.contains(token) ? 3 : 1);
        }
        return slowdowns;
    }

    std::set<std::uint32_t> slow;
};

class PlacementFixture
{
public:
    /** Lists @p count servers, the first @p local of them in the failure domain of the instance. */
    void list(std::uint64_t count, std::uint64_t local)
    {
        std::vector<StreamServer> servers;
        for (std::uint64_t number = 1; number <= count; ++number) {
            servers.push_back(RouterFixture::server(number, number <= local ? "a" : "b"));
        }
        directory.replaceAll(servers, {}, { 0, 10 }, clock.now());
    }

    const DirectoryRecord *place()
    {
        const auto choice = placement.choose({ &route, "pond" }, 0, {});
        if (!choice) {
            return nullptr;
        }
        const Endpoint client(0x64400000 + ++m_clients, 1);
        flows.recordOpening({ .client = client, .service = RouterFixture::service, .opens = true }, choice->record->token, clock.now());
        return choice->record;
    }

    ManualClock clock;
    SeededRandom random { 20261204 };
    EventCollector events;
    CountingSelector selector;
    StreamRoute route { .name = "r" };
    ServerDirectory directory;
    ServerFailureDetector failureDetector;
    ServerLatencyTracker latencyTracker;
    FlowTracker flows { 100000 };
    DomainPolicy policy;
    FlowPlacement placement { { clock, random, events, selector, directory, failureDetector, latencyTracker, flows, { &policy } }, "a" };

private:
    std::uint32_t m_clients = 0;
};

} // namespace

TEST_CASE_METHOD(
    PlacementFixture, "a placement compares a bounded number of servers, and spreads the load evenly over thousands", "[stream][placement]")
{
    // Comparing all servers for each flow took a fifth of the CPU time with 300 instances and 3,000 servers.
    constexpr std::uint64_t local = 1000;
    constexpr int flowsPerServer = 10;
    list(3000, local);
    std::map<std::string, int> placed;
    for (std::uint64_t flow = 0; flow < local * flowsPerServer; ++flow) {
        const DirectoryRecord *const record = place();
        REQUIRE(record != nullptr);
        CHECK(record->server.failureDomain == "a");
        ++placed[record->server.id];
    }
    CHECK(selector.maxCandidates <= FlowPlacement::localSampleSize + FlowPlacement::globalSampleSize);
    CHECK(placed.size() == local);
    const auto byCount = [](const auto &left, const auto &right) { return left.second < right.second; };
    CHECK(std::max_element(placed.begin(), placed.end(), byCount)->second <= flowsPerServer + 3);
}

TEST_CASE_METHOD(PlacementFixture, "all servers are compared if none of the sample is trusted", "[stream][placement]")
{
    // Most servers of a service may be in a failure domain that is cut off. A server that is still reachable must be found.
    list(3000, 1000);
    for (const DirectoryRecord *const record : directory.listed("pond")) {
        if (record->server.id != "i-3e7") {
            failureDetector.recordProvenEnd(record->token, clock.now());
        }
    }
    for (int flow = 0; flow < 20; ++flow) {
        const DirectoryRecord *const record = place();
        REQUIRE(record != nullptr);
        CHECK(record->server.id == "i-3e7");
    }
}

TEST_CASE_METHOD(PlacementFixture, "an instance without servers in its failure domain uses those of other domains", "[stream][placement]")
{
    list(3000, 0);
    const DirectoryRecord *const record = place();
    REQUIRE(record != nullptr);
    CHECK(record->server.failureDomain == "b");
}

TEST_CASE_METHOD(PlacementFixture, "a server that a policy forbids is not even a last resort", "[stream][placement]")
{
    list(2, 1);
    policy.forbidden = "a";
    for (int flow = 0; flow < 10; ++flow) {
        const DirectoryRecord *const record = place();
        REQUIRE(record != nullptr);
        CHECK(record->server.failureDomain == "b");
    }
    list(2, 2);
    CHECK(place() == nullptr);
}

TEST_CASE_METHOD(PlacementFixture, "a large service finds the few servers that a policy leaves", "[stream][placement]")
{
    list(2000, 1999); // a sample of 64 servers is unlikely to contain the last one
    policy.forbidden = "a";
    const DirectoryRecord *const record = place();
    REQUIRE(record != nullptr);
    CHECK(record->server.failureDomain == "b");
}

TEST_CASE_METHOD(
    PlacementFixture, "flows avoid servers that only other instances know to be slow, also if most are", "[stream][placement][loadreport]")
{
    SlowServers slowServers;
    placement.useSlowdownView(slowServers);
    list(10, 10);
    const std::vector<const DirectoryRecord *> &listed = directory.listed("pond");
    for (std::size_t index = 0; index < 7; ++index) {
        slowServers.slow.insert(listed[index]->token);
    }
    int onSlowServers = 0;
    for (int flow = 0; flow < 34; ++flow) { // the seven slow servers and the three others have equal costs with 9 flows for each other one
        onSlowServers += slowServers.slow.contains(place()->token) ? 1 : 0;
    }
    CHECK(onSlowServers <= 7);
    CHECK(placement.isSlow(listed[0]->token));
    CHECK_FALSE(placement.isSlow(listed[9]->token));
    slowServers.slow.clear(); // as when the reports are too old
    place();
    CHECK(placement.slowCount() == 0);
}

TEST_CASE_METHOD(
    PlacementFixture, "servers whose entries expired in an outage of the store still count as capacity", "[stream][placement][shortage]")
{
    // Guards against a service that seems short although nearly all of its servers run: three entries were left of 120.
    list(120, 120);
    CHECK(placement.usableSlots("pond", {}) == 240);
    clock.advance(milliseconds(100));
    std::vector<StreamServer> left { RouterFixture::server(1, "a") };
    directory.replaceAll(left, {}, { 0, 11 }, clock.now());
    CHECK(placement.usableSlots("pond", {}) == 240);
    clock.advance(ServerDirectory::relistGracePeriod);
    CHECK(placement.usableSlots("pond", {}) == 2);
}
