#include "coldstart/coldsharepolicy.h"
#include "core/random.h"
#include "stream/peerroster.h"
#include "stream/routerfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const TimePoint begin = TimePoint() + std::chrono::hours(1);

class FixedRoster : public InstanceRoster
{
public:
    explicit FixedRoster(std::string id, TimePoint settledAt = begin)
        : self(std::move(id))
        , m_settledAt(settledAt)
    {
        others.insert(self);
    }

    const std::string &selfId() const override
    {
        return self;
    }

    std::vector<std::string> recentIds(TimePoint) const override
    {
        return { others.begin(), others.end() };
    }

    std::size_t aliveCount(TimePoint) const override
    {
        return others.size();
    }

    bool isSettled(TimePoint now) const override
    {
        return now >= m_settledAt;
    }

    std::string self;
    std::set<std::string> others;

private:
    TimePoint m_settledAt;
};

DirectoryRecord coldServer(std::uint32_t token, TimePoint coldUntil)
{
    DirectoryRecord record { .server = RouterFixture::server(token), .token = token };
    record.server.coldUntil = coldUntil;
    return record;
}

StreamConfiguration limitedTo(double limit)
{
    StreamConfiguration configuration = RouterFixture::configuration(4);
    configuration.services["pond"].coldFlowsPerSecond = limit;
    return configuration;
}

/** An instance of the model, and when it counts itself as known to all others. */
struct ModelInstance {
    ModelInstance(const std::string &id, TimePoint start, double limit)
        : startedAt(start)
        , roster(id, start + seconds(3))
        , policy(start)
    {
        policy.useRoster(roster);
        policy.applyConfiguration(limitedTo(limit));
    }

    TimePoint startedAt;
    FixedRoster roster;
    ColdSharePolicy policy;
};

/** Returns the largest number of @p times, in ascending order, in any span of @p window with both ends. */
std::size_t largestCount(const std::vector<TimePoint> &times, std::chrono::nanoseconds window)
{
    std::size_t largest = 0;
    for (auto first = times.begin(), last = times.begin(); last != times.end(); ++last) {
        while (*last - *first > window) {
            ++first;
        }
        largest = std::max(largest, static_cast<std::size_t>(last - first) + 1);
    }
    return largest;
}

} // namespace

TEST_CASE("instances with differing lists never exceed the limit of a failure domain that returns cold while its clients come back",
    "[coldstart]")
{
    // All servers of a domain start at once, all clients send again, some instances join late, and each instance still counts some that
    // have ended. Guards against shares that add up to more than the limit in a second that lies across two whole ones.
    const double limit = GENERATE(0.3, 1.0, 1.5, 3.0, 7.9, 12.0, 40.0, 250.0);
    const std::size_t instanceCount = GENERATE(1, 3, 30);
    CAPTURE(limit, instanceCount);
    constexpr milliseconds step { 8 }; // a divisor of a second, so that flows lie exactly one window apart
    constexpr seconds duration { 10 };
    constexpr milliseconds longestUnknown { 1900 }; // the other instances count a new one after at most this time
    constexpr std::uint32_t serverCount = 5;
    SeededRandom random(20261206);
    const NewFlow flow { nullptr, "pond" };
    std::vector<std::unique_ptr<ModelInstance>> instances;
    for (std::size_t index = 0; index < instanceCount; ++index) {
        const TimePoint start = index % 3 == 2 ? begin + milliseconds(random.below(6000)) : begin - seconds(100);
        instances.push_back(std::make_unique<ModelInstance>("entry-" + std::to_string(index), start, limit));
    }
    std::vector<DirectoryRecord> servers;
    for (std::uint32_t token = 1; token <= serverCount; ++token) {
        servers.push_back(coldServer(token * 7919, begin + duration));
    }
    std::vector<std::vector<TimePoint>> placed(serverCount);
    for (TimePoint now = begin; now < begin + duration; now += step) {
        for (const auto &instance : instances) {
            for (const auto &other : instances) {
                const milliseconds unknown
                    = now < other->startedAt + longestUnknown ? milliseconds(random.below(longestUnknown.count())) : milliseconds(0);
                if (now >= other->startedAt + unknown) {
                    instance->roster.others.insert(other->roster.self);
                }
            }
            if (random.below(200) == 0) {
                const std::string ended = "ended-" + std::to_string(random.below(4));
                if (instance->roster.others.erase(ended) == 0) {
                    instance->roster.others.insert(ended);
                }
            }
            for (std::uint32_t server = 0; server < serverCount && now >= instance->startedAt; ++server) {
                const bool sends = instance->policy.judge(servers[server], flow, now) == PlacementVerdict::Allowed;
                for (std::size_t count = random.below(3); sends && count > 0; --count) {
                    if (instance->policy.judge(servers[server], flow, now) == PlacementVerdict::Allowed) {
                        instance->policy.recordPlacement(servers[server], flow, now);
                        placed[server].push_back(now);
                    }
                }
            }
        }
    }
    const std::chrono::duration<double> interval(std::max(1.0, 1 / limit));
    std::size_t total = 0;
    for (const std::vector<TimePoint> &times : placed) {
        const auto window = std::chrono::duration_cast<std::chrono::nanoseconds>(interval);
        CHECK(static_cast<double>(largestCount(times, window)) <= std::max(1.0, limit));
        total += times.size();
    }
    // Guards against shares so small that cold servers stay idle. Ended instances, of which there are at most four, leave theirs unused.
    const double offered = limit * static_cast<double>(serverCount * duration.count());
    CHECK(static_cast<double>(total) >= (instanceCount == 30 ? 0.4 : 0.1) * offered - serverCount);
}

TEST_CASE("an instance that just started or knows no other one sends nothing to a cold server", "[coldstart]")
{
    // Guards against the share of a lone instance in the hands of each of many that were cut off from one another or started together.
    ColdSharePolicy policy(begin);
    FixedRoster roster("entry-1", begin + seconds(10));
    policy.useRoster(roster);
    policy.applyConfiguration(limitedTo(6));
    const DirectoryRecord server = coldServer(7, begin + seconds(60));
    const NewFlow flow { nullptr, "pond" };
    CHECK(policy.judge(server, flow, begin + milliseconds(9999)) == PlacementVerdict::Forbidden);
    CHECK(policy.judge(server, flow, begin + seconds(10)) == PlacementVerdict::Allowed);
    // At one flow each 20 s the instance before this one, with the same id, may have sent just before its end.
    policy.applyConfiguration(limitedTo(0.05));
    CHECK(policy.judge(server, flow, begin + milliseconds(21900)) == PlacementVerdict::Forbidden);
    CHECK(policy.judge(server, flow, begin + milliseconds(22000)) == PlacementVerdict::Allowed);
}

TEST_CASE("the roster counts an instance that can't be reached for 60 s, and never settles alone among seeds", "[coldstart]")
{
    // Guards against the two sides of a partition that each take the whole limit once they consider the other side dead.
    const PeerRecord self { .id = "entry-1", .failureDomain = "a", .address = Endpoint(0x0a000001, 7720), .startedAt = 5, .heartbeat = 6 };
    PeerDirectory directory(self);
    const PeerRoster roster(directory, begin, true);
    CHECK_FALSE(roster.isSettled(begin + seconds(30)));
    PeerRecord other = self;
    other.id = "entry-2";
    other.address = Endpoint(0x0a000002, 7720);
    directory.merge(other, begin);
    CHECK_FALSE(roster.isSettled(begin + milliseconds(2999)));
    CHECK(roster.isSettled(begin + seconds(3)));
    directory.expire(begin + seconds(60));
    CHECK(roster.aliveCount(begin + seconds(60)) == 1);
    CHECK(roster.recentIds(begin + seconds(60)) == std::vector<std::string> { "entry-1", "entry-2" });
}

TEST_CASE("an instance that stood still sends nothing to a cold server until it has heard of those that joined", "[coldstart]")
{
    // Guards against an instance that was frozen and takes the share of one that joined meanwhile.
    ColdSharePolicy policy(begin - seconds(60));
    FixedRoster roster("entry-1");
    policy.useRoster(roster);
    policy.applyConfiguration(limitedTo(6));
    const DirectoryRecord server = coldServer(7, begin + seconds(60));
    const NewFlow flow { nullptr, "pond" };
    policy.tick(begin);
    CHECK(policy.judge(server, flow, begin + milliseconds(1000)) == PlacementVerdict::Allowed);
    CHECK(policy.judge(server, flow, begin + seconds(9)) == PlacementVerdict::Forbidden); // before the first tick after the stall
    for (milliseconds time { 9000 }; time < seconds(12); time += milliseconds(500)) {
        policy.tick(begin + time);
        CHECK(policy.judge(server, flow, begin + time + milliseconds(499)) == PlacementVerdict::Forbidden);
    }
    CHECK(policy.judge(server, flow, begin + seconds(12)) == PlacementVerdict::Allowed);
}

TEST_CASE_METHOD(RouterFixture, "a flow is refused at once when the shares of all servers, which are cold, are used up", "[coldstart]")
{
    // Guards against clients that wait for 1.4 s for a server that this instance must not send to.
    std::vector<StreamServer> servers { server(7), server(8) };
    for (StreamServer &cold : servers) {
        cold.coldUntil = clock.now() + seconds(30);
    }
    makeReady(servers);
    StreamConfiguration configuration = limitedTo(2);
    configuration.version += 1;
    router.applyConfiguration(configuration);
    const auto from = [](std::uint16_t port) { return Endpoint(client.address(), port); };
    CHECK(open(from(1)).action == StreamDecision::Action::Forward);
    CHECK(open(from(2)).action == StreamDecision::Action::Forward);
    CHECK(open(from(3)).action == StreamDecision::Action::Forward);
    advanceClock(milliseconds(200));
    CHECK(open(from(3), 1).outcome == StreamOutcome::PlacedAgain); // a copy takes the last share
    const StreamDecision refused = open(from(4));
    CHECK(refused.action == StreamDecision::Action::Reset);
    CHECK(refused.outcome == StreamOutcome::ColdLimit);
    advanceClock(milliseconds(801));
    CHECK(open(from(5)).outcome == StreamOutcome::Placed);
    SECTION("a server that is not cold takes all flows")
    {
        router.updateServer(server(9));
        for (std::uint16_t port = 10; port < 20; ++port) {
            CHECK(open(from(port)).outcome == StreamOutcome::Placed);
        }
    }
    SECTION("without a limit nothing is refused")
    {
        StreamConfiguration unlimited = RouterFixture::configuration(4);
        unlimited.version += 2;
        router.applyConfiguration(unlimited);
        for (std::uint16_t port = 10; port < 20; ++port) {
            CHECK(open(from(port)).outcome == StreamOutcome::Placed);
        }
    }
}
