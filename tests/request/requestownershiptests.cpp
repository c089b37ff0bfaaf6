#include "core/random.h"
#include "membership/memberview.h"
#include "request/requestownership.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Samphirepitch;
using namespace std::chrono_literals;

namespace
{

constexpr auto repeatWindow = 10s;

Endpoint dataAddress(const std::string &id)
{
    return Endpoint(0x7f000100U + static_cast<std::uint32_t>(id.back()), 6000);
}

std::shared_ptr<const MemberView> makeView(const std::vector<std::pair<std::string, MemberState>> &states)
{
    std::vector<Member> members;
    for (const auto &[id, state] : states) {
        members.emplace_back(Member::Fields { .id = id, .failureDomain = "a", .dataAddress = dataAddress(id), .state = state });
    }
    return std::make_shared<const MemberView>(std::move(members));
}

std::shared_ptr<const MemberView> viewOfThree(MemberState stateOfI2)
{
    return makeView({ { "i1", MemberState::Alive }, { "i2", stateOfI2 }, { "i3", MemberState::Alive } });
}

/** Returns a key that i2 owns, and that i1 owns when i2 is gone. */
std::uint64_t keyOwnedByI2ThenI1()
{
    SeededRandom random(20261204);
    const auto view = viewOfThree(MemberState::Alive);
    while (true) {
        const std::uint64_t key = random.next();
        const auto ranked = view->ranked(key, 2);
        if (ranked[0]->id() == "i2" && ranked[1]->id() == "i1") {
            return key;
        }
    }
}

} // namespace

TEST_CASE(
    "requests of an unreachable owner are refused as unknown until the quarantine deadline", "[request][requestownership][quarantine]")
{
    // Guards invariant 5, a non-idempotent request runs at most once, when an owner crashes or is behind a network partition.
    ManualClock clock;
    RequestOwnership ownership("i1", true, clock.now() - 60s);
    ownership.memberViewChanged(viewOfThree(MemberState::Alive), repeatWindow, clock.now() - 60s);
    CHECK(ownership.decide(keyOwnedByI2ThenI1(), {}, 0, repeatWindow, clock.now()).action == OwnerAction::Forward);
    ownership.memberViewChanged(viewOfThree(MemberState::Dead), repeatWindow, clock.now());
    CHECK(ownership.decide(keyOwnedByI2ThenI1(), {}, 0, repeatWindow, clock.now()).action == OwnerAction::Unknown);
    clock.advance(repeatWindow + RequestOwnership::maxClockSkew - 1ms);
    CHECK(ownership.decide(keyOwnedByI2ThenI1(), {}, 0, repeatWindow, clock.now()).action == OwnerAction::Unknown);
    clock.advance(1ms);
    CHECK(ownership.decide(keyOwnedByI2ThenI1(), {}, 0, repeatWindow, clock.now()).action == OwnerAction::DecideHere);
}

TEST_CASE("a leaving owner is asked before its successor decides", "[request][requestownership][quarantine]")
{
    // Guards invariant 7: a planned stop must not refuse requests.
    ManualClock clock;
    std::map<std::string, RequestOwnership> instances;
    for (const std::string id : { "i1", "i2", "i3" }) {
        RequestOwnership &ownership = instances.try_emplace(id, id, true, clock.now() - 60s).first->second;
        ownership.memberViewChanged(viewOfThree(MemberState::Alive), repeatWindow, clock.now() - 60s);
        ownership.memberViewChanged(viewOfThree(MemberState::Leaving), repeatWindow, clock.now());
    }
    const std::uint64_t key = keyOwnedByI2ThenI1();
    const OwnerDecision first = instances.at("i3").decide(key, {}, 0, repeatWindow, clock.now());
    REQUIRE(first.action == OwnerAction::Forward);
    CHECK(first.instance->id() == "i2");
    const OwnerDecision second = instances.at("i2").decide(key, dataAddress("i3"), 1, repeatWindow, clock.now());
    REQUIRE(second.action == OwnerAction::Forward);
    CHECK(second.instance->id() == "i1");
    CHECK(instances.at("i1").decide(key, dataAddress("i2"), 2, repeatWindow, clock.now()).action == OwnerAction::DecideHere);
    CHECK(instances.at("i1").decide(key, dataAddress("i3"), 2, repeatWindow, clock.now()).action == OwnerAction::Unknown);
}

TEST_CASE("an instance that restarts under its id refuses the requests that it owns at first", "[request][requestownership][quarantine]")
{
    // Guards against a second run of a request that the previous process sent.
    ManualClock clock;
    RequestOwnership ownership("i2", false, clock.now());
    ownership.memberViewChanged(makeView({ { "i2", MemberState::Alive } }), repeatWindow, clock.now());
    CHECK(ownership.decide(keyOwnedByI2ThenI1(), {}, 0, repeatWindow, clock.now()).action == OwnerAction::Unknown);
    clock.advance(repeatWindow + RequestOwnership::maxClockSkew);
    CHECK(ownership.decide(keyOwnedByI2ThenI1(), {}, 0, repeatWindow, clock.now()).action == OwnerAction::DecideHere);
}

TEST_CASE(
    "a request that its owner forwarded is passed back by an instance that does not know it", "[request][requestownership][quarantine]")
{
    // Guards against an instance that runs a request only because the owner asked whether it had run there before.
    ManualClock clock;
    std::map<std::string, RequestOwnership> instances;
    for (const std::string id : { "i1", "i2", "i3" }) {
        RequestOwnership &ownership = instances.try_emplace(id, id, true, clock.now() - 60s).first->second;
        ownership.memberViewChanged(viewOfThree(MemberState::Alive), repeatWindow, clock.now() - 60s);
    }
    const std::uint64_t key = keyOwnedByI2ThenI1();
    for (const std::string id : { "i1", "i3" }) {
        CAPTURE(id);
        const OwnerDecision decision = instances.at(id).decide(key, dataAddress("i2"), 1, repeatWindow, clock.now());
        REQUIRE(decision.action == OwnerAction::Forward);
        CHECK(decision.instance->id() == "i2");
    }
}
