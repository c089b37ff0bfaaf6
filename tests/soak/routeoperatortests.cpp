#include "soak/routeoperator.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Samphirepitch;
using namespace Samphirepitch::Soak;

using std::chrono::milliseconds;
using Time = RouteOperator::Time;

TEST_CASE("a route that is removed and put back is there at the end of each plan", "[soak][routeoperator]")
{
    // Guards against a soak that ends with a removed route, or that never removes one briefly or for long.
    bool hasBrief = false;
    bool hasLasting = false;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::vector<bool> written;
        RouteOperator routeOperator(SeededRandom(seed), [&] { written.push_back(routeOperator.isRemoved()); });
        const std::vector<ScheduledStep> steps = routeOperator.plan(milliseconds(9000));
        REQUIRE_FALSE(steps.empty());
        CHECK(std::is_sorted(steps.begin(), steps.end(), [](const auto &left, const auto &right) { return left.at < right.at; }));
        CHECK(steps.back().at <= milliseconds(9000));
        for (std::size_t index = 0; index < steps.size(); ++index) {
            steps[index].action();
            CHECK(written.back() == (index % 2 == 0));
            const milliseconds absence = index % 2 == 0 ? milliseconds(0) : steps[index].at - steps[index - 1].at;
            hasBrief = hasBrief || (absence.count() > 0 && absence < milliseconds(1800));
            hasLasting = hasLasting || absence > milliseconds(3000);
        }
        CHECK_FALSE(routeOperator.isRemoved());
    }
    CHECK(hasBrief);
    CHECK(hasLasting);
}

TEST_CASE("a flow may be reset only if its route was removed after it began", "[soak][routeoperator]")
{
    // Guards against a soak that excuses each reset on the route, or that judges flows from before a removal.
    RouteOperator routeOperator(SeededRandom(1), [] {});
    const std::vector<ScheduledStep> steps = routeOperator.plan(milliseconds(9000));
    const Time start = Time() + milliseconds(1000);
    routeOperator.recordVersion(start);
    CHECK_FALSE(routeOperator.wasRemovedSince(start));
    CHECK_FALSE(routeOperator.removedSince().has_value());
    steps[0].action();
    routeOperator.recordVersion(start + milliseconds(100));
    routeOperator.recordVersion(start + milliseconds(200)); // another version without the route
    CHECK(routeOperator.removedSince() == start + milliseconds(100));
    CHECK(routeOperator.wasRemovedSince(start + milliseconds(150)));
    steps[1].action();
    routeOperator.recordVersion(start + milliseconds(300));
    CHECK_FALSE(routeOperator.removedSince().has_value());
    CHECK(routeOperator.wasRemovedSince(start + milliseconds(299)));
    CHECK_FALSE(routeOperator.wasRemovedSince(start + milliseconds(301)));
    // An older copy of the store may lack the route.
    routeOperator.recordStoreReturn(start + milliseconds(400));
    CHECK(routeOperator.wasRemovedSince(start + milliseconds(350)));
    CHECK_FALSE(routeOperator.wasRemovedSince(start + milliseconds(401)));
}
