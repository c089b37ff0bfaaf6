#include "fakes/controlgroup.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

TEST_CASE("a generation reaches all instances of three failure domains and is in force everywhere", "[peer][controlplane]")
{
    ControlGroup group;
    for (const char *id : { "a1", "a2", "a3" }) {
        group.add(id, "ajaokuta");
    }
    for (const char *id : { "l1", "l2", "l3" }) {
        group.add(id, "lokoja");
    }
    for (const char *id : { "o1", "o2" }) {
        group.add(id, "okene");
    }
    group.publish(1);
    REQUIRE(group.until([&] { return group.allHave(1) && group.allSeeAll(); }));
    group.publish(2);
    REQUIRE(group.until([&] { return group.allHave(2); }));
    SECTION("two instances of each failure domain watch the platform")
    {
        CHECK(group.until([&] { return group.platform.waitingWatchCount() == 6; }));
    }
    SECTION("one instance of each failure domain writes its status, which names all instances")
    {
        REQUIRE(group.until([&] {
            const PlatformObject *object = group.platform.object("status/lokoja");
            const auto status = object ? DomainStatus::decode(object->body) : Result<DomainStatus>(DomainStatus());
            return status && status->instances.size() == 3 && status->lowestInForce == 2 && status->reported == 3;
        }));
    }
    SECTION("a platform that was restored from an older copy gets the newer generation back, and no instance goes back")
    {
        std::map<std::string, PlatformObject> copy = group.platform.objects();
        group.publish(3);
        REQUIRE(group.until([&] { return group.allHave(3); }));
        group.platform.restore(copy);
        REQUIRE(group.until([&] {
            const PlatformObject *head = group.platform.object("head");
            return head && HeadPointer::decode(head->body)->generation == 3;
        }));
        // A new instance must be able to read the generation from the restored platform alone.
        ConfigStore store;
        const HeadPointer head = *HeadPointer::decode(group.platform.object("head")->body);
        const auto record = HeadRecord::decode(group.platform.object("parts/" + head.record.toHex())->body);
        for (const auto &[key, object] : group.platform.objects()) {
            if (key.starts_with("parts/")) {
                CHECK(store.put(ContentName::of(object.body), object.body).has_value());
            }
        }
        CHECK(ConfigTree::assemble(*record, store).has_value());
        for (const auto &instance : group.instances) {
            CHECK(std::is_sorted(instance->adoptedGenerations().begin(), instance->adoptedGenerations().end()));
            CHECK(instance->adoptedGenerations().back() == 3);
        }
    }
    SECTION("states of backend servers reach every instance once")
    {
        const ServerStates states { { ServerHealthChange { "pool", "server", false, { 1, 1 } } } };
        group.instances[7]->plane().spreadServerStates(states);
        CHECK(group.until([&] {
            return std::count_if(group.instances.begin(), group.instances.end(), [&](const auto &instance) {
                return instance->serverStates() == std::vector { states };
            }) == 7;
        }));
    }
    SECTION("flow exceptions reach an instance of another failure domain")
    {
        const FlowExceptionBatch exceptions { "pondwatch", 2, { 7, 8 } };
        for (const auto &sender : group.instances) {
            CHECK(sender->plane().sendFlowExceptions(sender.get() == group.instances[7].get() ? "a1" : "o2", exceptions));
        }
        CHECK(group.until([&] { return group.instances[7]->flowExceptions().size() == 7; }));
    }
}

TEST_CASE("an instance that starts during a platform outage takes the generation from its peers", "[peer][controlplane]")
{
    ControlGroup group;
    group.add("a1", "ajaokuta");
    group.add("a2", "ajaokuta");
    group.publish(1);
    REQUIRE(group.until([&] { return group.allHave(1) && group.allSeeAll(); }));
    group.platform.setOutage(true);
    group.add("l1", "lokoja");
    CHECK(group.until([&] { return group.allHave(1) && group.allSeeAll(); }));
    // Changes go on as soon as the platform is back.
    group.platform.setOutage(false);
    group.publish(2);
    CHECK(group.until([&] { return group.allHave(2); }));
}

TEST_CASE("the number of watches does not grow with the instances of a failure domain", "[peer][controlplane]")
{
    ControlGroup group;
    for (int number = 0; number < 12; ++number) {
        group.add("l" + std::to_string(number), "lokoja");
    }
    group.publish(1);
    REQUIRE(group.until([&] { return group.allHave(1) && group.allSeeAll(); }));
    // Instances that watched before they knew the others end their watch with this change.
    group.publish(2);
    REQUIRE(group.until([&] { return group.allHave(2) && group.platform.waitingWatchCount() == 2; }));
    // Twelve instances that each read the head for a change would make more than two watches and a few reads.
    const std::uint64_t watches = group.platform.callCount(MemoryPlatform::Call::Watch);
    const std::uint64_t reads = group.platform.callCount(MemoryPlatform::Call::Read);
    group.publish(3);
    REQUIRE(group.until([&] { return group.allHave(3); }));
    CHECK(group.platform.callCount(MemoryPlatform::Call::Watch) - watches <= 4);
    CHECK(group.platform.callCount(MemoryPlatform::Call::Read) - reads <= 2 * 3 + 2);
    // The seed of all others is linked by each of them at first; links outside the plan must end.
    CHECK(group.until([&] {
        return std::all_of(
            group.instances.begin(), group.instances.end(), [](const auto &instance) { return instance->plane().linkCount() <= 10; });
    }));
}

TEST_CASE("a paused instance is dead for its peers, sees its view lapsed, and returns", "[peer][controlplane]")
{
    asio::io_context paused;
    ControlGroup group;
    group.add("l1", "lokoja");
    group.add("l2", "lokoja");
    ControlInstance &sleeper = group.add("l3", "lokoja", &paused);
    const auto stateAt = [&](std::size_t observer) {
        const Member *member = group.instances[observer]->plane().view()->member("l3");
        return member ? member->state() : MemberState::Dead;
    };
    const auto runBoth = [&](auto done) {
        return group.until([&] {
            paused.poll();
            return done();
        });
    };
    REQUIRE(runBoth([&] { return group.allSeeAll(); }));
    CHECK(group.clock.now() < sleeper.plane().lapseDeadline());
    REQUIRE(group.until([&] { return stateAt(0) == MemberState::Dead && stateAt(1) == MemberState::Dead; }));
    CHECK(group.clock.now() >= sleeper.plane().lapseDeadline());
    CHECK(runBoth([&] { return group.allSeeAll() && group.clock.now() < sleeper.plane().lapseDeadline(); }));
    sleeper.plane().stop();
    runBoth([&] { return sleeper.hasEnded(); });
}

TEST_CASE("a failure domain that was cut off rejoins at the higher generation", "[peer][controlplane]")
{
    asio::io_context cutOff;
    ControlGroup group;
    group.add("a1", "ajaokuta");
    group.add("a2", "ajaokuta");
    ControlInstance &first = group.add("l1", "lokoja", &cutOff);
    ControlInstance &second = group.add("l2", "lokoja", &cutOff);
    const auto runBoth = [&](auto done) {
        return group.until([&] {
            cutOff.poll();
            return done();
        });
    };
    group.publish(1);
    REQUIRE(runBoth([&] { return group.allHave(1) && group.allSeeAll(); }));
    // The others go on without the silent failure domain, which a new generation must not wait for.
    group.publish(2);
    REQUIRE(group.until([&] { return group.instances[0]->activeGeneration() == 2 && group.instances[1]->activeGeneration() == 2; }));
    CHECK(group.instances[0]->plane().view()->ranked(1, 9, "lokoja").empty());
    CHECK(first.plane().held().generation == 1);
    CHECK(runBoth([&] { return group.allHave(2) && group.allSeeAll(); }));
    for (ControlInstance *instance : { &first, &second }) {
        instance->plane().stop();
    }
    CHECK(runBoth([&] { return first.hasEnded() && second.hasEnded(); }));
}

TEST_CASE("an instance that starts again with a higher incarnation counts at once", "[peer][controlplane]")
{
    ControlGroup group;
    group.add("l1", "lokoja");
    group.add("l2", "lokoja");
    REQUIRE(group.until([&] { return group.allSeeAll(); }));
    group.instances[1]->plane().stop();
    REQUIRE(group.until([&] { return group.instances[1]->hasEnded(); }));
    group.instances.pop_back();
    group.add("l2", "lokoja");
    CHECK(group.until([&] { return group.allSeeAll() && group.instances[0]->plane().view()->member("l2")->incarnation() >= 3; }));
}
