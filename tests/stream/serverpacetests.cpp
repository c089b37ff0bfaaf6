#include "stream/loadmodel.h"
#include "stream/serverpace.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/** The selector without what is known of the servers' pace: the baseline. */
class PacelessSelector : public ServerSelector
{
public:
    std::optional<std::size_t> choose(const std::vector<StreamCandidate> &candidates, RandomSource &random) const override
    {
        std::vector<StreamCandidate> alike = candidates;
        for (StreamCandidate &candidate : alike) {
            candidate.pace = 1;
        }
        return m_selector.choose(alike, random);
    }

private:
    LeastFlowsSelector m_selector;
};

class PaceFixture
{
public:
    /** Gives each of five servers answers of 30 ms, but the first one answers of @p first. */
    void answerAll(int times, milliseconds first)
    {
        for (int round = 0; round < times; ++round) {
            for (const std::uint32_t token : tokens) {
                pace.answered(token, token == 1 ? first : milliseconds(30), now);
            }
        }
    }

    const std::vector<std::uint32_t> tokens { 1, 2, 3, 4, 5 };
    ServerPace pace;
    TimePoint now = TimePoint() + seconds(100);
};

constexpr std::size_t users = 160; // a third of what ten servers can take
constexpr milliseconds runTime { 30000 };
constexpr milliseconds countedTime { 20000 };

ModelOutcome play(const ServerSelector &selector, ModelServer bad, std::size_t badCount)
{
    std::vector<ModelServer> servers(10);
    std::fill_n(servers.begin(), badCount, bad);
    return LoadModel(selector, servers, users, 20261204).run(runTime, countedTime);
}

} // namespace

TEST_CASE_METHOD(PaceFixture, "a server that answers four times as late as the others counts as slow", "[stream][pace]")
{
    answerAll(20, milliseconds(120));
    const std::vector<double> paces = pace.compare(tokens, now);
    CHECK(paces.front() > 2);
    CHECK(paces.front() <= ServerPace::slowest);
    CHECK(std::count(paces.begin(), paces.end(), 1.0) == 4);
}

TEST_CASE_METHOD(PaceFixture, "a few long requests do not make a server slow", "[stream][pace]")
{
    // Answers the pattern of stragglers: one request in twenty works many times longer than the rest.
    answerAll(20, milliseconds(30));
    pace.answered(1, milliseconds(900), now);
    CHECK(pace.compare(tokens, now).front() == 1);
}

TEST_CASE_METHOD(PaceFixture, "little is known of a server, or of too few servers, and they count as alike", "[stream][pace]")
{
    for (int round = 0; round < 5; ++round) {
        pace.answered(1, milliseconds(900), now);
    }
    CHECK(pace.compare(tokens, now) == std::vector<double>(5, 1));
    pace.answered(1, milliseconds(900), now);
    CHECK(pace.compare(tokens, now) == std::vector<double>(5, 1));
}

TEST_CASE_METHOD(PaceFixture, "a service whose servers are all slow has no slow server", "[stream][pace]")
{
    // Answers the pattern of a crest: what all servers share is their load, and there is nowhere else to go.
    for (int round = 0; round < 20; ++round) {
        for (const std::uint32_t token : tokens) {
            pace.answered(token, milliseconds(400), now);
        }
    }
    CHECK(pace.compare(tokens, now) == std::vector<double>(5, 1));
}

TEST_CASE_METHOD(PaceFixture, "what made a server slow is forgotten without answers, and it is tried again", "[stream][pace]")
{
    answerAll(30, milliseconds(240));
    const double at = pace.compare(tokens, now).front();
    now += ServerPace::halfLife;
    for (const std::uint32_t token : { 2, 3, 4, 5 }) {
        pace.answered(token, milliseconds(30), now);
    }
    const double later = pace.compare(tokens, now).front();
    CHECK(later < at);
    CHECK(later > 1);
    now += ServerPace::memory;
    CHECK_FALSE(pace.milliseconds(1, now).has_value());
    pace.forget(2);
    CHECK_FALSE(pace.milliseconds(2, now).has_value());
}

TEST_CASE_METHOD(PaceFixture, "requests without an answer raise the estimate up to the time waited", "[stream][pace]")
{
    answerAll(10, milliseconds(30));
    for (int round = 0; round < 50; ++round) {
        pace.late(1, now);
    }
    CHECK(pace.milliseconds(1, now).value() >= 90);
    CHECK(pace.milliseconds(1, now).value() < 90 * (1 + ServerPace::step));
}

TEST_CASE("servers that turn slow get fewer flows, and fewer answers are late", "[stream][pace][load]")
{
    // Answers the pattern of servers that turn four times slower while their health check stays good. The same load over the same servers
    // without their pace is the baseline.
    const ModelServer slow { .slowness = 4 };
    const double late = play(LeastFlowsSelector(), slow, 2).lateShare();
    const double baseline = play(PacelessSelector(), slow, 2).lateShare();
    CAPTURE(late, baseline);
    CHECK(late < 0.7 * baseline);
}

TEST_CASE("servers that leave requests without an answer get fewer flows, and fewer requests fail", "[stream][pace][load]")
{
    // Answers the pattern of servers that leave part of the requests without an answer while their health check stays good.
    const ModelServer mute { .unanswered = 0.4 };
    const double failed = play(LeastFlowsSelector(), mute, 2).failedShare();
    const double baseline = play(PacelessSelector(), mute, 2).failedShare();
    CAPTURE(failed, baseline);
    CHECK(failed < 0.8 * baseline);
}

TEST_CASE("equal servers are used as before", "[stream][pace][load]")
{
    const double late = play(LeastFlowsSelector(), {}, 0).lateShare();
    const double baseline = play(PacelessSelector(), {}, 0).lateShare();
    CAPTURE(late, baseline);
    CHECK(late < baseline + 0.01);
}
