#include "evacuation/evacuationview.h"
#include "stream/routerfixture.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class ViewFixture
{
public:
    ViewFixture()
    {
        for (EvacuationView *const each : { &view, &other }) {
            each->enable();
        }
    }

    static Evacuation entry(std::string domain, StorePosition position)
    {
        return { std::move(domain), position };
    }

    bool list(EvacuationView &target, const std::vector<Evacuation> &listed, StorePosition position)
    {
        return target.replaceAll(listed, position, clock.now());
    }

    bool isEvacuated(const std::string &domain, const EvacuationView &of) const
    {
        return of.isEvacuated(domain, clock.now());
    }

    bool isEvacuated(const std::string &domain) const
    {
        return isEvacuated(domain, view);
    }

    /** Passes what @p from knows on to @p to. */
    bool tell(const EvacuationView &from, EvacuationView &to)
    {
        return to.merge(from.all(), from.position(), from.age().confirmed());
    }

    ManualClock clock;
    EventCollector events;
    EvacuationView view { clock, events };
    EvacuationView other { clock, events };
};

} // namespace

TEST_CASE_METHOD(ViewFixture, "lists and changes from before the known position end no evacuation", "[evacuation]")
{
    list(view, { entry("b", { 1, 40 }) }, { 1, 50 });
    CHECK_FALSE(list(view, {}, { 1, 49 }));
    CHECK_FALSE(view.apply({ { "b", true, { 1, 48 } } }, { 1, 48 }, clock.now()));
    other.merge({ .count = 0 }, { 1, 45 }, clock.now());
    CHECK(tell(other, view));
    CHECK(isEvacuated("b"));
    CHECK(list(view, {}, { 1, 51 }));
    CHECK_FALSE(isEvacuated("b"));
}

TEST_CASE_METHOD(ViewFixture, "an evacuation that is withdrawn within a second leaves nothing behind", "[evacuation]")
{
    list(view, {}, { 1, 50 });
    SECTION("both changes arrive together")
    {
        CHECK(view.apply({ { "b", false, { 1, 51 } }, { "b", true, { 1, 52 } } }, { 1, 52 }, clock.now()));
    }
    SECTION("a message from between arrives last")
    {
        tell(view, other);
        other.apply({ { "b", false, { 1, 51 } } }, { 1, 51 }, clock.now());
        tell(other, view);
        CHECK(isEvacuated("b"));
        view.apply({ { "b", true, { 1, 52 } } }, { 1, 52 }, clock.now());
        tell(other, view);
    }
    CHECK(view.isEmpty());
    CHECK(events.count("evacuation_ended") == 1);
}

TEST_CASE_METHOD(ViewFixture, "an evacuation that an older copy of the store lacks stays in force for 30 s", "[evacuation][era]")
{
    // Guards against new flows in a domain whose evacuation the store lost with its last changes.
    list(view, { entry("b", { 1, 40 }), entry("c", { 1, 30 }) }, { 1, 50 });
    list(view, { entry("c", { 2, 30 }) }, { 2, 35 });
    CHECK(isEvacuated("b"));
    SECTION("and ends then")
    {
        clock.advance(milliseconds(29900));
        list(view, { entry("c", { 2, 30 }) }, { 2, 36 }); // a second list of the era doesn't end it earlier
        view.expire();
        CHECK(isEvacuated("b"));
        clock.advance(milliseconds(100));
        CHECK_FALSE(isEvacuated("b"));
        view.expire();
        CHECK(events.last("evacuation_ended").find("reason=lost_by_store") != std::string::npos);
    }
    SECTION("unless it is written again")
    {
        view.apply({ { "b", false, { 2, 37 } } }, { 2, 37 }, clock.now());
        clock.advance(seconds(31));
        CHECK(isEvacuated("b"));
        CHECK(events.count("evacuation_begun") == 2);
    }
    SECTION("unless it is deleted in the new era")
    {
        view.apply({ { "b", true, { 2, 37 } } }, { 2, 37 }, clock.now());
        CHECK_FALSE(isEvacuated("b"));
    }
    CHECK(isEvacuated("c"));
}

TEST_CASE_METHOD(
    ViewFixture, "an instance that starts in a new era keeps no other from an evacuation that the store lost", "[evacuation][era]")
{
    // The instance that started has a later position and knows nothing of the earlier era.
    list(view, { entry("b", { 1, 40 }) }, { 1, 50 });
    list(other, {}, { 2, 36 });
    SECTION("the evacuation is still known when the instance is heard")
    {
        tell(other, view);
        CHECK(isEvacuated("b"));
        clock.advance(seconds(30));
        CHECK_FALSE(isEvacuated("b"));
    }
    SECTION("the instance that started adopts it")
    {
        list(view, {}, { 2, 35 });
        clock.advance(seconds(10));
        tell(view, other);
        CHECK(isEvacuated("b", other));
        clock.advance(seconds(20));
        CHECK_FALSE(isEvacuated("b", other));
    }
}

TEST_CASE_METHOD(ViewFixture, "an instance that missed a deletion in a new era takes it over at once", "[evacuation][era]")
{
    list(view, { entry("b", { 1, 40 }) }, { 1, 50 });
    tell(view, other);
    list(other, {}, { 2, 35 });
    other.apply({ { "b", true, { 2, 36 } } }, { 2, 36 }, clock.now());
    tell(other, view);
    CHECK_FALSE(isEvacuated("b"));
}

TEST_CASE_METHOD(ViewFixture, "a message without evacuations changes nothing, and one with too many asks for the state", "[evacuation]")
{
    list(view, { entry("b", { 1, 40 }) }, { 1, 50 });
    CHECK(view.merge({}, {}, clock.now()));
    CHECK(isEvacuated("b"));
    CHECK_FALSE(view.merge({ .count = 33 }, { 1, 60 }, clock.now()));
    CHECK(isEvacuated("b"));
    CHECK(view.position() == StorePosition(1, 50));
}

TEST_CASE_METHOD(ViewFixture, "a store that doesn't know evacuations ends them everywhere", "[evacuation]")
{
    CHECK_FALSE(view.clear(1, clock.now()));
    CHECK(view.isReady());
    list(view, { entry("b", { 1, 40 }) }, { 1, 50 });
    tell(view, other);
    CHECK(view.clear(1, clock.now()));
    tell(view, other);
    CHECK(other.isEmpty());
    const StorePosition cleared = view.position();
    CHECK_FALSE(view.clear(1, clock.now()));
    CHECK(view.position() == cleared); // it would pass the store's own revision otherwise
}

TEST_CASE_METHOD(ViewFixture, "a view that is off holds no flow and no domain", "[evacuation]")
{
    EvacuationView off(clock, events);
    CHECK(off.isReady());
    list(off, { entry("b", { 1, 40 }) }, { 1, 50 });
    list(view, { entry("b", { 1, 40 }) }, { 1, 50 });
    CHECK(tell(view, off));
    CHECK(off.isEmpty());
    CHECK(off.position().isUnset());
}
