#include "core/random.h"
#include "membership/memberview.h"
#include "request/quarantine.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Samphirepitch;
using namespace std::chrono_literals;

namespace
{

constexpr auto window = 10s;

Endpoint dataAddress(const std::string &id)
{
    return Endpoint(0x7f000100U + static_cast<std::uint32_t>(id.back()), 6000);
}

std::shared_ptr<const MemberView> viewOf(const std::vector<std::pair<std::string, MemberState>> &states)
{
    std::vector<Member> members;
    for (const auto &[id, state] : states) {
        members.emplace_back(Member::Fields { .id = id, .failureDomain = "a", .dataAddress = dataAddress(id), .state = state });
    }
    return std::make_shared<const MemberView>(std::move(members));
}

std::shared_ptr<const MemberView> threeWith(MemberState ofSecond)
{
    return viewOf({ { "i1", MemberState::Alive }, { "i2", ofSecond }, { "i3", MemberState::Alive } });
}

/** Returns a key that i2 owns among i1, i2 and i3, and i1 owns without i2. */
std::uint64_t takenOverKey()
{
    SeededRandom random(20261204);
    const auto view = threeWith(MemberState::Alive);
    while (true) {
        const std::uint64_t key = random.next();
        const auto ranked = view->ranked(key, 2);
        if (ranked[0]->id() == "i2" && ranked[1]->id() == "i1") {
            return key;
        }
    }
}

} // namespace

TEST_CASE("the range of an unreachable owner is refused as unknown until the quarantine deadline", "[request][quarantine]")
{
    // Guards invariant 5 when an owner dies or a partition separates it.
    ManualClock clock;
    Quarantine quarantine("i1", true, clock.now() - 60s);
    quarantine.viewChanged(threeWith(MemberState::Alive), window, clock.now() - 60s);
    CHECK(quarantine.decide(takenOverKey(), {}, 0, window, clock.now()).action == OwnerAction::Forward);
    quarantine.viewChanged(threeWith(MemberState::Dead), window, clock.now());
    CHECK(quarantine.decide(takenOverKey(), {}, 0, window, clock.now()).action == OwnerAction::Unknown);
    clock.advance(window + Quarantine::clockSkew - 1ms);
    CHECK(quarantine.decide(takenOverKey(), {}, 0, window, clock.now()).action == OwnerAction::Unknown);
    clock.advance(1ms);
    CHECK(quarantine.decide(takenOverKey(), {}, 0, window, clock.now()).action == OwnerAction::DecideHere);
}

TEST_CASE("a leaving owner is asked before its successor decides", "[request][quarantine]")
{
    // Guards invariant 7: a planned stop must not refuse requests.
    ManualClock clock;
    std::map<std::string, Quarantine> instances;
    for (const std::string id : { "i1", "i2", "i3" }) {
        Quarantine &quarantine = instances.try_emplace(id, id, true, clock.now() - 60s).first->second;
        quarantine.viewChanged(threeWith(MemberState::Alive), window, clock.now() - 60s);
        quarantine.viewChanged(threeWith(MemberState::Leaving), window, clock.now());
    }
    const std::uint64_t key = takenOverKey();
    const OwnerDecision first = instances.at("i3").decide(key, {}, 0, window, clock.now());
    REQUIRE(first.action == OwnerAction::Forward);
    CHECK(first.instance->id() == "i2");
    const OwnerDecision second = instances.at("i2").decide(key, dataAddress("i3"), 1, window, clock.now());
    REQUIRE(second.action == OwnerAction::Forward);
    CHECK(second.instance->id() == "i1");
    CHECK(instances.at("i1").decide(key, dataAddress("i2"), 2, window, clock.now()).action == OwnerAction::DecideHere);
    CHECK(instances.at("i1").decide(key, dataAddress("i3"), 2, window, clock.now()).action == OwnerAction::Unknown);
}

TEST_CASE("an instance that restarts under its id refuses its own range at first", "[request][quarantine]")
{
    // Guards against a second run of a request that the process before it sent.
    ManualClock clock;
    Quarantine quarantine("i2", false, clock.now());
    quarantine.viewChanged(viewOf({ { "i2", MemberState::Alive } }), window, clock.now());
    CHECK(quarantine.decide(takenOverKey(), {}, 0, window, clock.now()).action == OwnerAction::Unknown);
    clock.advance(window + Quarantine::clockSkew);
    CHECK(quarantine.decide(takenOverKey(), {}, 0, window, clock.now()).action == OwnerAction::DecideHere);
}

TEST_CASE("an owner's question is passed back by an instance that does not remember the request", "[request][quarantine]")
{
    // Guards against an instance that runs a request because its owner asked whether it had run before.
    ManualClock clock;
    std::map<std::string, Quarantine> instances;
    for (const std::string id : { "i1", "i2", "i3" }) {
        Quarantine &quarantine = instances.try_emplace(id, id, true, clock.now() - 60s).first->second;
        quarantine.viewChanged(threeWith(MemberState::Alive), window, clock.now() - 60s);
    }
    const std::uint64_t key = takenOverKey();
    for (const std::string id : { "i1", "i3" }) {
        CAPTURE(id);
        const OwnerDecision decision = instances.at(id).decide(key, dataAddress("i2"), 1, window, clock.now());
        REQUIRE(decision.action == OwnerAction::Forward);
        CHECK(decision.instance->id() == "i2");
    }
}
