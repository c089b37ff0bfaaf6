#include "shortage/crowdmodel.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;

namespace
{

// The shape of the deployments that the rules were made for: 60 instances, 120 servers with two slots, readers with long flows (priority 2)
// and urgent requests with a flow each (priority 1) that need a third of the work. The limits are those that callers ask for.
constexpr std::size_t instances = 60;
constexpr std::size_t servers = 120;
constexpr double readers = 1311; // requests a second
constexpr double urgent = 375;
constexpr std::uint64_t seed = 20261206;

constexpr double minUrgentShare = 0.97; // of their credit, while the servers have room for them
constexpr double minPartOfIdeal = 0.9;
constexpr double maxRejectedShare = 0.05; // of the arrivals at servers

std::vector<CrowdKind> kinds()
{
    return { { .priority = 2, .longFlows = true, .work = milliseconds(15), .target = milliseconds(250), .timeLimit = milliseconds(1000) },
        { .priority = 1,
            .longFlows = false,
            .work = milliseconds(20),
            .target = milliseconds(250),
            .timeLimit = milliseconds(1200),
            .credit = 2,
            .lateCredit = 0.6 } };
}

CrowdPhase calm()
{
    return { .length = milliseconds(3000), .requestsPerSecond = { readers, urgent }, .servers = servers };
}

struct Comparison {
    CrowdOutcome leastFlows;
    CrowdOutcome admission;
    CrowdOutcome ideal;

    double rejectedShare() const
    {
        return static_cast<double>(admission.rejected) / static_cast<double>(admission.arrivals);
    }
};

Comparison compare(const std::vector<CrowdPhase> &phases)
{
    const auto play = [&phases](CrowdRule rule) {
        const CrowdOutcome outcome = CrowdModel(rule, instances, servers, kinds(), seed).play(phases, 1);
        UNSCOPED_INFO("rule " << static_cast<int>(rule) << ": all " << outcome.share() << ", readers " << outcome.kinds[0].share()
                              << ", urgent " << outcome.kinds[1].share() << ", rejected " << outcome.rejected << " of "
                              << outcome.arrivals);
        return outcome;
    };
    return { play(CrowdRule::LeastFlows), play(CrowdRule::Admission), play(CrowdRule::IdealQueue) };
}

} // namespace

TEST_CASE("most servers gone while readers crowd in: urgent requests are served and few arrivals find a full server", "[shortage][load]")
{
    const Comparison result = compare(
        { calm(), { .length = milliseconds(6000), .requestsPerSecond = { 2.5 * readers, urgent }, .servers = servers * 15 / 100 } });
    CHECK(result.admission.kinds[1].share() >= minUrgentShare);
    CHECK(result.admission.share() >= minPartOfIdeal * result.ideal.share());
    CHECK(result.rejectedShare() < maxRejectedShare);
    CHECK(result.leastFlows.kinds[1].share() < minUrgentShare); // the failure that the rules are for
}

TEST_CASE("a crowd of twelve times the readers: urgent requests are served and few arrivals find a full server", "[shortage][load]")
{
    const Comparison result
        = compare({ calm(), { .length = milliseconds(5000), .requestsPerSecond = { 12 * readers, urgent }, .servers = servers } });
    CHECK(result.admission.kinds[1].share() >= minUrgentShare);
    CHECK(result.admission.share() >= minPartOfIdeal * result.ideal.share());
    CHECK(result.rejectedShare() < maxRejectedShare);
}

TEST_CASE("half of the servers at a third of their speed: no request that found room before is refused", "[shortage][load]")
{
    const Comparison result = compare({ calm(),
        { .length = milliseconds(5000),
            .requestsPerSecond = { readers, urgent },
            .servers = servers,
            .slowdown = 3,
            .slowServers = servers / 2 } });
    CHECK(result.leastFlows.share() > 0.99);
    CHECK(result.admission.share() >= result.leastFlows.share() - 0.001);
    CHECK(result.admission.kinds[0].refused <= result.leastFlows.kinds[0].refused);
    CHECK(result.admission.kinds[1].refused <= result.leastFlows.kinds[1].refused);
}

TEST_CASE(
    "all instances return at once to the backlog of their clients: urgent requests are served from the first moment", "[shortage][load]")
{
    // The requests of two seconds arrive within 100 ms, at servers of which half are gone.
    const Comparison result = compare({ calm(),
        { .length = milliseconds(100), .requestsPerSecond = { 20 * readers, 20 * urgent }, .servers = servers / 2, .instancesStart = true },
        { .length = milliseconds(2000), .requestsPerSecond = { readers, urgent }, .servers = servers / 2 } });
    CHECK(result.admission.kinds[1].share() >= minUrgentShare);
    CHECK(result.admission.share() >= minPartOfIdeal * result.ideal.share());
    CHECK(result.rejectedShare() < maxRejectedShare);
}
