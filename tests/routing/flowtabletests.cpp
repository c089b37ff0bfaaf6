#include "core/random.h"
#include "routing/flowtable.h"

#include <catch2/catch.hpp>

#include <array>
#include <unordered_map>

using namespace Samphirepitch;

TEST_CASE("a flow table holds 300,000 flows in less than 24 bytes each", "[routing][flowtable]")
{
    constexpr std::size_t flows = 300000;
    FlowTable table(flows);
    SeededRandom random(20261204);
    const ManualClock clock;
    std::vector<std::uint64_t> keys;
    while (keys.size() < flows) {
        keys.push_back(random.next() | 1);
        REQUIRE(table.insert(keys.back(), static_cast<std::uint32_t>(keys.size()), clock.now()));
    }
    CHECK(table.size() == flows);
    CHECK(static_cast<double>(table.memory()) / flows < 24.0);
    CHECK_FALSE(table.insert(2, 1, clock.now()));
    std::size_t found = 0;
    for (std::size_t index = 0; index < flows; ++index) {
        found += table.find(keys[index]) == static_cast<std::uint32_t>(index + 1) ? 1 : 0;
    }
    CHECK(found == flows);
}

TEST_CASE("a flow table agrees with a hash map over random operations", "[routing][flowtable]")
{
    // Guards against entries that can't be found after a removal from the middle of their probe sequence.
    const std::uint64_t seed = GENERATE(1, 2, 3);
    CAPTURE(seed);
    SeededRandom random(seed);
    const ManualClock clock;
    FlowTable table(90);
    std::unordered_map<std::uint64_t, std::uint32_t> model;
    for (int step = 0; step < 50000; ++step) {
        // Keys whose high bits have a small range make long probe sequences, some of which wrap around the end of the table.
        const std::uint64_t key = (random.below(150) << 57 | random.below(3)) + 1;
        if (random.below(3) == 0) {
            REQUIRE(table.erase(key) == (model.erase(key) == 1));
        } else if (table.insert(key, static_cast<std::uint32_t>(step), clock.now())) {
            model[key] = static_cast<std::uint32_t>(step);
        } else {
            REQUIRE(model.size() == table.maxFlows());
        }
        const std::uint64_t probe = (random.below(150) << 57 | random.below(3)) + 1;
        REQUIRE(table.find(probe).has_value() == model.contains(probe));
    }
    CHECK(table.size() == model.size());
    for (const auto &[key, value] : model) {
        CHECK(table.find(key) == value);
    }
}

TEST_CASE("a sweep removes idle flows only", "[routing][flowtable]")
{
    ManualClock clock;
    FlowTable table(1000);
    SeededRandom random(7);
    std::vector<std::uint64_t> keys;
    for (int index = 0; index < 1000; ++index) {
        keys.push_back(random.next() | 1);
        table.insert(keys.back(), index % 2, clock.now());
    }
    clock.advance(std::chrono::seconds(10));
    const std::array<std::uint32_t, 2> idleTicks { 50, 150 };
    const std::size_t slots = table.slots().size();
    std::size_t removed = 0;
    for (std::size_t looked = 0; looked < 2 * slots; looked += 100) {
        removed += table.sweep(clock.now(), 100, idleTicks);
    }
    CHECK(removed == 500);
    CHECK_FALSE(table.find(keys[0]).has_value());
    CHECK(table.find(keys[1]).has_value());
}
