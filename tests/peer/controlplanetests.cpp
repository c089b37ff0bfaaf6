#include "fakes/controlplanegroup.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

TEST_CASE("a generation reaches all instances of three failure domains and is in force everywhere", "[peer][controlplane]")
{
    ControlPlaneGroup group;
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
    REQUIRE(group.runUntil([&] { return group.allHaveInForce(1) && group.allSeeEachOther(); }));
    group.publish(2);
    REQUIRE(group.runUntil([&] { return group.allHaveInForce(2); }));
    SECTION("two instances of each failure domain watch the platform")
    {
        CHECK(group.runUntil([&] { return group.platform.waitingWatchCount() == 6; }));
    }
    SECTION("one instance of each failure domain writes its status, which lists all instances")
    {
        REQUIRE(group.runUntil([&] {
            const PlatformObject *object = group.platform.object("status/lokoja");
            const auto status = object ? DomainStatus::decode(object->body) : Result<DomainStatus>(DomainStatus());
            return status && status->instances.size() == 3 && status->lowestInForce == 2 && status->reported == 3;
        }));
    }
    SECTION("the newer generation is written back to a platform restored from an older copy, and no instance goes back to an older one")
    {
        std::map<std::string, PlatformObject> copy = group.platform.objects();
        group.publish(3);
        REQUIRE(group.runUntil([&] { return group.allHaveInForce(3); }));
        group.platform.restore(copy);
        REQUIRE(group.runUntil([&] {
            const PlatformObject *head = group.platform.object("head");
            return head && HeadPointer::decode(head->body)->generation == 3;
        }));
        // A new instance must be able to read the whole generation from the restored platform.
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
        group.instances[7]->plane().broadcastServerStates(states);
        CHECK(group.runUntil([&] {
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
        CHECK(group.runUntil([&] { return group.instances[7]->flowExceptions().size() == 7; }));
    }
}

TEST_CASE("an instance that starts during a platform outage gets the generation from its peers", "[peer][controlplane]")
{
    ControlPlaneGroup group;
    group.add("a1", "ajaokuta");
    group.add("a2", "ajaokuta");
    group.publish(1);
    REQUIRE(group.runUntil([&] { return group.allHaveInForce(1) && group.allSeeEachOther(); }));
    group.platform.setOutage(true);
    group.add("l1", "lokoja");
    CHECK(group.runUntil([&] { return group.allHaveInForce(1) && group.allSeeEachOther(); }));
    // New generations are distributed as soon as the platform is available again.
    group.platform.setOutage(false);
    group.publish(2);
    CHECK(group.runUntil([&] { return group.allHaveInForce(2); }));
}

TEST_CASE("the number of watches does not grow with the instances of a failure domain", "[peer][controlplane]")
{
    ControlPlaneGroup group;
    for (int number = 0; number < 12; ++number) {
        group.add("l" + std::to_string(number), "lokoja");
    }
    group.publish(1);
    REQUIRE(group.runUntil([&] { return group.allHaveInForce(1) && group.allSeeEachOther(); }));
    // Instances that started to watch before they knew the others end their watch with this change.
    group.publish(2);
    REQUIRE(group.runUntil([&] { return group.allHaveInForce(2) && group.platform.waitingWatchCount() == 2; }));
    // If all twelve instances watched the head, the change would take far more watches and reads than these limits.
    const std::uint64_t watches = group.platform.callCount(MemoryPlatform::Call::Watch);
    const std::uint64_t reads = group.platform.callCount(MemoryPlatform::Call::Read);
    group.publish(3);
    REQUIRE(group.runUntil([&] { return group.allHaveInForce(3); }));
    CHECK(group.platform.callCount(MemoryPlatform::Call::Watch) - watches <= 4);
    CHECK(group.platform.callCount(MemoryPlatform::Call::Read) - reads <= 2 * 3 + 2);
    // At first each instance links to the seed. Links outside the link plan must be closed.
    CHECK(group.runUntil([&] {
        return std::all_of(
            group.instances.begin(), group.instances.end(), [](const auto &instance) { return instance->plane().linkCount() <= 10; });
    }));
}

TEST_CASE("a paused instance becomes dead to its peers, finds its view expired, and rejoins", "[peer][controlplane]")
{
    asio::io_context paused;
    ControlPlaneGroup group;
    group.add("l1", "lokoja");
    group.add("l2", "lokoja");
    ControlInstance &pausedInstance = group.add("l3", "lokoja", &paused);
    const auto stateAt = [&](std::size_t observer) {
        const Member *member = group.instances[observer]->plane().view()->member("l3");
        return member ? member->state() : MemberState::Dead;
    };
    const auto runBoth = [&](auto done) {
        return group.runUntil([&] {
            paused.poll();
            return done();
        });
    };
    REQUIRE(runBoth([&] { return group.allSeeEachOther(); }));
    CHECK(group.clock.now() < pausedInstance.plane().viewDeadline());
    REQUIRE(group.runUntil([&] { return stateAt(0) == MemberState::Dead && stateAt(1) == MemberState::Dead; }));
    CHECK(group.clock.now() >= pausedInstance.plane().viewDeadline());
    CHECK(runBoth([&] { return group.allSeeEachOther() && group.clock.now() < pausedInstance.plane().viewDeadline(); }));
    pausedInstance.plane().stop();
    runBoth([&] { return pausedInstance.hasEnded(); });
}

TEST_CASE("a failure domain that was cut off rejoins at the higher generation", "[peer][controlplane]")
{
    asio::io_context cutOff;
    ControlPlaneGroup group;
    group.add("a1", "ajaokuta");
    group.add("a2", "ajaokuta");
    ControlInstance &first = group.add("l1", "lokoja", &cutOff);
    ControlInstance &second = group.add("l2", "lokoja", &cutOff);
    const auto runBoth = [&](auto done) {
        return group.runUntil([&] {
            cutOff.poll();
            return done();
        });
    };
    group.publish(1);
    REQUIRE(runBoth([&] { return group.allHaveInForce(1) && group.allSeeEachOther(); }));
    // The activation of a new generation must not wait for an unreachable failure domain.
    group.publish(2);
    REQUIRE(group.runUntil([&] { return group.instances[0]->activeGeneration() == 2 && group.instances[1]->activeGeneration() == 2; }));
    CHECK(group.instances[0]->plane().view()->ranked(1, 9, "lokoja").empty());
    CHECK(first.plane().held().generation == 1);
    CHECK(runBoth([&] { return group.allHaveInForce(2) && group.allSeeEachOther(); }));
    for (ControlInstance *instance : { &first, &second }) {
        instance->plane().stop();
    }
    CHECK(runBoth([&] { return first.hasEnded() && second.hasEnded(); }));
}

TEST_CASE("an instance that restarts with a higher incarnation is alive at once", "[peer][controlplane]")
{
    ControlPlaneGroup group;
    group.add("l1", "lokoja");
    group.add("l2", "lokoja");
    REQUIRE(group.runUntil([&] { return group.allSeeEachOther(); }));
    group.instances[1]->plane().stop();
    REQUIRE(group.runUntil([&] { return group.instances[1]->hasEnded(); }));
    group.instances.pop_back();
    group.add("l2", "lokoja");
    CHECK(group.runUntil([&] { return group.allSeeEachOther() && group.instances[0]->plane().view()->member("l2")->incarnation() >= 3; }));
}
