#include "membership/membership.h"
#include "membership/watcherselection.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace Samphirepitch;
using namespace std::chrono_literals;

namespace
{

Member::Fields member(
    const std::string &id, std::uint64_t incarnation, MemberState state = MemberState::Alive, const char *domain = "lokoja")
{
    return { id, domain, Endpoint(0x7f000001, 7000), Endpoint(0x7f000001, 7001), incarnation, state };
}

ListedInstance listed(const std::string &id, const char *domain = "lokoja", bool leaving = false)
{
    return { id, domain, Endpoint(0x7f000001, 7000), Endpoint(0x7f000001, 7001), leaving };
}

/** A membership of the instance "a" with a manual clock. */
struct Fixture {
    ManualClock clock;
    Membership membership { member("a", 10), clock.now() };

    /** Returns the state of @p id in the view, or nothing if it is not a member. */
    std::optional<MemberState> state(const char *id) const
    {
        const Member *found = membership.view()->member(id);
        return found ? std::optional(found->state()) : std::nullopt;
    }

    /** Advances the clock in the 250 ms steps of an instance's tick. */
    void advanceClock(std::chrono::milliseconds time)
    {
        for (; time > 0ms; time -= 250ms) {
            clock.advance(250ms);
            membership.advance(clock.now());
        }
    }
};

} // namespace

TEST_CASE("a silent peer becomes suspect, then dead, and is then forgotten", "[membership]")
{
    Fixture fixture;
    fixture.membership.linkUp(member("b", 5), fixture.clock.now());
    CHECK(fixture.state("b") == MemberState::Alive);
    fixture.membership.linkDown("b", fixture.clock.now());
    CHECK(fixture.state("b") == MemberState::Suspect);
    fixture.advanceClock(1250ms);
    CHECK(fixture.state("b") == MemberState::Suspect);
    fixture.advanceClock(250ms);
    CHECK(fixture.state("b") == MemberState::Dead);
    SECTION("it is removed forgetTimeout after a list that omits it")
    {
        fixture.membership.instanceListRead({ listed("a") }, fixture.clock.now());
        fixture.advanceClock(29s);
        CHECK(fixture.state("b") == MemberState::Dead);
        fixture.advanceClock(1s);
        CHECK_FALSE(fixture.state("b"));
    }
    SECTION("it stays dead while the stale list names it, and the list does not bring it back")
    {
        fixture.membership.instanceListRead({ listed("a"), listed("b") }, fixture.clock.now());
        fixture.advanceClock(60s);
        CHECK(fixture.state("b") == MemberState::Dead);
        CHECK(fixture.membership.probeTargets(fixture.clock.now()) == std::vector<std::string> { "b" });
    }
    SECTION("a restart with a higher incarnation is alive at once")
    {
        fixture.membership.linkUp(member("b", 6), fixture.clock.now());
        CHECK(fixture.state("b") == MemberState::Alive);
    }
    SECTION("a late alive event of the same incarnation does not revive it, and the sender is corrected")
    {
        fixture.membership.takeEvents(64);
        fixture.membership.apply({ member("b", 5, MemberState::Alive) }, fixture.clock.now());
        CHECK(fixture.state("b") == MemberState::Dead);
        CHECK(fixture.membership.takeEvents(64) == std::vector { member("b", 5, MemberState::Dead) });
    }
}

TEST_CASE("an instance refutes wrong events about itself", "[membership]")
{
    Fixture fixture;
    fixture.membership.takeEvents(64);
    fixture.membership.apply({ member("a", 10, MemberState::Suspect) }, fixture.clock.now());
    CHECK(fixture.membership.takeEvents(64) == std::vector { member("a", 11) });
    fixture.membership.apply({ member("a", 10, MemberState::Dead) }, fixture.clock.now());
    CHECK(fixture.membership.takeEvents(64).empty());
    fixture.membership.beginLeaving();
    fixture.membership.apply({ member("a", 11, MemberState::Dead) }, fixture.clock.now());
    CHECK(fixture.membership.self() == member("a", 12, MemberState::Leaving));
}

TEST_CASE("a refutation ends a suspicion before the member is declared dead", "[membership]")
{
    Fixture fixture;
    fixture.membership.apply({ member("b", 5), member("b", 5, MemberState::Suspect) }, fixture.clock.now());
    fixture.advanceClock(1s);
    fixture.membership.apply({ member("b", 6) }, fixture.clock.now());
    fixture.advanceClock(5s);
    CHECK(fixture.state("b") == MemberState::Alive);
}

TEST_CASE("a member that sends heartbeats stays although the list is stale and others suspect it", "[membership]")
{
    Fixture fixture;
    fixture.membership.linkUp(member("b", 5), fixture.clock.now());
    fixture.membership.instanceListRead({ listed("a") }, fixture.clock.now());
    fixture.membership.apply({ member("b", 5, MemberState::Suspect) }, fixture.clock.now());
    fixture.advanceClock(60s);
    CHECK(fixture.state("b") != MemberState::Dead);
}

TEST_CASE("an instance that is listed as leaving is leaving, and becomes dead when its link ends", "[membership]")
{
    Fixture fixture;
    fixture.membership.linkUp(member("b", 5), fixture.clock.now());
    fixture.membership.instanceListRead({ listed("a"), listed("b", "lokoja", true) }, fixture.clock.now());
    CHECK(fixture.state("b") == MemberState::Leaving);
    fixture.membership.linkDown("b", fixture.clock.now());
    fixture.advanceClock(1500ms);
    CHECK(fixture.state("b") == MemberState::Dead);
    fixture.membership.instanceListRead({ listed("a", "lokoja", true) }, fixture.clock.now());
    CHECK(fixture.state("a") == MemberState::Leaving);
}

TEST_CASE("a view without any contact expires at a stored deadline", "[membership]")
{
    Fixture fixture;
    fixture.membership.linkUp(member("b", 5), fixture.clock.now());
    CHECK_FALSE(fixture.membership.isViewExpired(fixture.clock.now()));
    // A paused process runs no tick. Its first decision after the pause must already see that the view has expired.
    fixture.clock.advance(2s);
    CHECK(fixture.membership.isViewExpired(fixture.clock.now()));
    SECTION("a heartbeat renews the view")
    {
        fixture.membership.heartbeat("b", 5, fixture.clock.now());
        CHECK_FALSE(fixture.membership.isViewExpired(fixture.clock.now()));
    }
    SECTION("the view of an instance whose peers are all dead does not expire")
    {
        fixture.membership.linkDown("b", fixture.clock.now());
        CHECK(fixture.membership.isViewExpired(fixture.clock.now()));
        fixture.advanceClock(1500ms);
        CHECK_FALSE(fixture.membership.isViewExpired(fixture.clock.now()));
    }
}

TEST_CASE("a watcher without contact to the watchers of another failure domain suspects all members there", "[membership]")
{
    Fixture fixture;
    for (const char *id : { "x", "y", "z" }) {
        fixture.membership.apply({ member(id, 1, MemberState::Alive, "okene") }, fixture.clock.now());
    }
    const std::vector<std::string> watchers = WatcherSelection(*fixture.membership.view(), "okene").watchers();
    REQUIRE(watchers.size() == 2);
    CHECK(fixture.membership.linkTargets() == std::set<std::string>(watchers.begin(), watchers.end()));
    fixture.membership.linkDown(watchers[0], fixture.clock.now());
    CHECK(fixture.membership.view()->ranked(1, 9, "okene").size() == 3);
    fixture.membership.linkDown(watchers[1], fixture.clock.now());
    fixture.advanceClock(1500ms);
    CHECK(fixture.membership.view()->ranked(1, 9, "okene").empty());
    CHECK(fixture.membership.probeTargets(fixture.clock.now()).size() == 3);
}

TEST_CASE(
    "the links of a failure domain contain the aggregation tree, and each instance has a bounded number of links", "[membership][linkplan]")
{
    std::vector<Member> members;
    for (int number = 0; number < 64; ++number) {
        members.emplace_back(member("i" + std::to_string(number), 1));
    }
    const MemberView view(members);
    const WatcherSelection selection(view, "lokoja");
    CHECK(selection.watchers().size() == 2);
    std::size_t children = 0;
    for (const Member &each : members) {
        Membership membership(member(each.id(), 1), TimePoint());
        std::vector<Member::Fields> events;
        for (const Member &other : members) {
            events.push_back(member(other.id(), 1));
        }
        membership.apply(events, TimePoint());
        const std::set<std::string> targets = membership.linkTargets();
        CHECK(targets.size() <= 10);
        children += selection.children(each.id()).size();
        const std::string parent = selection.parent(each.id());
        CHECK((parent.empty() ? selection.isWatcher(each.id()) : targets.contains(parent)));
    }
    CHECK(children == 63);
}
