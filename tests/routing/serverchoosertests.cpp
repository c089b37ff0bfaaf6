#include "core/random.h"
#include "routing/serverchooser.h"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace Samphirepitch;

namespace
{

/** Returns how often the chooser took each server for 1,000 keys. */
std::map<ServerIndex, int> choices(ServerChooser &chooser, const std::vector<ServerCandidate> &candidates)
{
    SeededRandom random(20261204);
    std::map<ServerIndex, int> counts;
    for (std::uint64_t key = 0; key < 1000; ++key) {
        ++counts[chooser.choose(candidates, key, random)];
    }
    return counts;
}

} // namespace

TEST_CASE("every chooser returns no server without candidates, and uses all of several equal ones", "[routing][serverchooser]")
{
    const auto kind = GENERATE(
        ChooserKind::Random, ChooserKind::RoundRobin, ChooserKind::TwoChoices, ChooserKind::ConsistentHash, ChooserKind::LocalFirst);
    const auto chooser = ServerChooser::create(kind);
    SeededRandom random(1);
    CHECK(chooser->choose({}, 1, random) == noServer);
    const std::vector<ServerCandidate> candidates { { .server = 1, .nameHash = 11 }, { .server = 2, .nameHash = 22 },
        { .server = 3, .nameHash = 33 }, { .server = 4, .nameHash = 44 } };
    const auto counts = choices(*chooser, candidates);
    CHECK(counts.size() == 4);
    for (const auto &[server, count] : counts) {
        CHECK(count > 180); // expected 250, standard deviation 14
    }
}

TEST_CASE("the least-in-flight chooser takes the server with the fewest outstanding requests", "[routing][serverchooser]")
{
    const auto chooser = ServerChooser::create(ChooserKind::LeastInFlight);
    const auto counts
        = choices(*chooser, { { .server = 1, .inFlight = 3 }, { .server = 2, .inFlight = 1 }, { .server = 3, .inFlight = 2 } });
    CHECK(counts == std::map<ServerIndex, int> { { 2, 1000 } });
}

TEST_CASE("the local-first chooser takes remote servers only when local servers are busy", "[routing][serverchooser]")
{
    const auto chooser = ServerChooser::create(ChooserKind::LocalFirst);
    ServerCandidate local { .server = 1, .slots = 2, .isLocal = true };
    const ServerCandidate remote { .server = 2, .slots = 2 };
    CHECK(choices(*chooser, { local, remote }) == std::map<ServerIndex, int> { { 1, 1000 } });
    SECTION("busy by own requests")
    {
        local.inFlight = 2;
        CHECK(choices(*chooser, { local, remote }) == std::map<ServerIndex, int> { { 2, 1000 } });
    }
    SECTION("busy by its own report")
    {
        local.reportedLoad = 5;
        CHECK(choices(*chooser, { local, remote }) == std::map<ServerIndex, int> { { 2, 1000 } });
    }
}
