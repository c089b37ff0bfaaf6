#include "load/scenario.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Samphirepitch;

TEST_CASE("the example scenarios have no findings", "[load][scenario]")
{
    for (const auto *file : { "examples/dewnet/load.toml", "examples/tugan-kun/load.toml" }) {
        const auto scenario = Scenario::load(file);
        INFO(file);
        REQUIRE(scenario.has_value());
        CHECK(scenario->values().groups.size() == 2);
        CHECK_FALSE(scenario->values().groups.front().idempotent);
    }
}

TEST_CASE("all errors of a scenario are found at once with their group", "[load][scenario]")
{
    const auto scenario = Scenario::parse("name = 'x'\nsede = 3\n"
                                          "[[group]]\nname = 'a'\nservice = '127.10.0.1:7000'\nflows = 0\nstraggler_fraction = 1.5\n"
                                          "[[group]]\nname = 'a'\nservice = 'pondwatch'\nflows = 1\nsource = 'here'\npeak_rate = 5\n"
                                          "[[callers]]\nname = 'b'\n",
        "load.toml");
    REQUIRE_FALSE(scenario.has_value());
    std::vector<std::string> keys;
    for (const KeyFinding &finding : scenario.error()) {
        keys.push_back(finding.key);
    }
    std::sort(keys.begin(), keys.end());
    CHECK(keys
        == std::vector<std::string> { "callers", "group[0].flows", "group[0].straggler_fraction", "group[1].name", "group[1].service",
            "group[1].source", "group[1].swing_period_ms", "sede" });
}

TEST_CASE("a scenario without groups is refused", "[load][scenario]")
{
    const auto scenario = Scenario::parse("name = 'x'\n", "load.toml");
    REQUIRE_FALSE(scenario.has_value());
    CHECK(scenario.error().front().key == "group");
}
