#include "control/statussummary.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

namespace
{

ListedInstance listed(const std::string &id)
{
    return { .id = id, .failureDomain = "lokoja" };
}

DomainStatus lokoja(MemberState stateOfSecond)
{
    return { .failureDomain = "lokoja",
        .writer = "a",
        .writtenAtMs = 100,
        .highestHeld = 3,
        .lowestInForce = 3,
        .reported = 1,
        .expected = 1,
        .instances = { { "a", MemberState::Alive, 3, 3, 90 }, { "b", stateOfSecond, 2, 2, 50 } } };
}

} // namespace

TEST_CASE("an instance that may hold flows keeps a generation from being in force everywhere", "[control][statussummary]")
{
    // Guards against a status that says "in force everywhere" while an instance goes on with an older generation.
    SECTION("a dead instance that is still listed may only be cut off")
    {
        const StatusSummary summary(3, { listed("a"), listed("b") }, { lokoja(MemberState::Dead) }, {});
        CHECK_FALSE(summary.inForceEverywhere());
        REQUIRE(summary.laggingInstances().size() == 1);
        CHECK(summary.laggingInstances().front().id == "b");
    }
    SECTION("a suspect instance counts although the list lags")
    {
        CHECK_FALSE(StatusSummary(3, { listed("a") }, { lokoja(MemberState::Suspect) }, {}).inForceEverywhere());
    }
    SECTION("without a list, a dead instance may be alive behind a partition")
    {
        CHECK_FALSE(StatusSummary(3, {}, { lokoja(MemberState::Dead) }, {}).inForceEverywhere());
    }
}

TEST_CASE("an instance that is dead for its peers and no longer listed is gone", "[control][statussummary]")
{
    // Guards against a status that never again says "in force everywhere" after an instance was killed and removed.
    const StatusSummary summary(3, { listed("a") }, { lokoja(MemberState::Dead) }, {});
    CHECK(summary.inForceEverywhere());
    CHECK(summary.laggingInstances().empty());
}
