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

TEST_CASE("a generation is not in force everywhere while an instance that may hold flows lags", "[control][statussummary]")
{
    // Guards against a status that shows a generation as in force everywhere while an instance still uses an older one.
    SECTION("a dead instance that is still listed may be partitioned")
    {
        const StatusSummary summary(3, { listed("a"), listed("b") }, { lokoja(MemberState::Dead) }, {});
        CHECK_FALSE(summary.inForceEverywhere());
        REQUIRE(summary.laggingInstances().size() == 1);
        CHECK(summary.laggingInstances().front().id == "b");
    }
    SECTION("a suspect instance counts although the list lacks it")
    {
        CHECK_FALSE(StatusSummary(3, { listed("a") }, { lokoja(MemberState::Suspect) }, {}).inForceEverywhere());
    }
    SECTION("without a list, a dead instance may be alive but partitioned")
    {
        CHECK_FALSE(StatusSummary(3, {}, { lokoja(MemberState::Dead) }, {}).inForceEverywhere());
    }
}

TEST_CASE("an instance that its peers consider dead and that is no longer listed counts as gone", "[control][statussummary]")
{
    // Guards against a status that no longer shows any generation as in force everywhere after an instance was killed and removed.
    const StatusSummary summary(3, { listed("a") }, { lokoja(MemberState::Dead) }, {});
    CHECK(summary.inForceEverywhere());
    CHECK(summary.laggingInstances().empty());
}
