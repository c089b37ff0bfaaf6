#include "daemon/settings.h"
#include "daemon/settingstable.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace Samphirepitch;

namespace
{

const std::string minimalSettings = "deployment = 'dewnet'\n"
                                    "[instance]\nid = 'lokoja-1'\nfailure_domain = 'lokoja'\n"
                                    "[peer]\naddress = '127.0.1.1:7100'\n"
                                    "[data]\naddress = '127.0.1.1:7200'\nback_address = '127.0.1.1:7201'\n"
                                    "fabric_return_address = '127.0.0.9:7300'\n"
                                    "[platform]\naddress = '127.0.0.8:7400'\n";

const KeyFinding *findingFor(const KeyFindings &findings, std::string_view key)
{
    const auto found = std::find_if(findings.begin(), findings.end(), [key](const KeyFinding &finding) { return finding.key == key; });
    return found == findings.end() ? nullptr : &*found;
}

} // namespace

TEST_CASE("settings with only the required keys have default values for the others", "[daemon][settings]")
{
    const auto settings = Settings::parse(minimalSettings, "a.toml");
    REQUIRE(settings.has_value());
    CHECK(settings->values().instanceId == "lokoja-1");
    CHECK(settings->values().peerAddress.toString() == "127.0.1.1:7100");
    CHECK(settings->values().stopTimeout == std::chrono::milliseconds(30000));
    CHECK(settings->values().logLevel == "info");
}

TEST_CASE("all faults of a settings file are found at once", "[daemon][settings]")
{
    // Guards against a check that stops at the first fault, so that an operator has to restart once for each fault.
    const auto settings = Settings::parse("deployment = 7\n"
                                          "[instance]\nid = ''\n"
                                          "[peer]\naddress = 'localhost:1'\nseeds = ['127.0.0.1:1', 'x']\ncolour = 'red'\n"
                                          "[data]\naddress = '127.0.1.1:7200'\nback_address = '127.0.1.1:7200'\nmax_flows = -1\n"
                                          "[log]\nlevel = 'loud'\n[stop]\nlinger_ms = 40000\n[events]\nrate = 0\n[[extra]]\na = 1\n",
        "a.toml");
    REQUIRE_FALSE(settings.has_value());
    const KeyFindings &findings = settings.error();
    for (const auto *key : { "deployment", "instance.id", "instance.failure_domain", "peer.address", "peer.seeds", "stop.linger_ms",
             "events.rate", "peer.colour", "data.back_address", "data.max_flows", "data.fabric_return_address", "platform.address",
             "log.level", "extra" }) {
        INFO(key);
        CHECK(findingFor(findings, key));
    }
    CHECK(findings.size() == 14);
    CHECK(findingFor(findings, "events.rate")->describe() == "a.toml:17: events.rate is 0; allowed: 1..10000");
    CHECK(findingFor(findings, "log.level")->allowed == "one of: info warning error");
}

TEST_CASE("a syntax error and a missing file are findings", "[daemon][settings]")
{
    const auto broken = Settings::parse("deployment = 'x'\n[peer\n", "a.toml");
    REQUIRE_FALSE(broken.has_value());
    CHECK(broken.error().front().line == 2);
    const auto missing = Settings::load("tests/daemon/no-such-file.toml");
    REQUIRE_FALSE(missing.has_value());
    CHECK(missing.error().front().key == "file");
}

TEST_CASE("a reload applies only reloadable keys", "[daemon][settings]")
{
    // Guards against a reload that changes the address of an open socket.
    const auto before = Settings::parse(minimalSettings, "a.toml");
    const auto after = Settings::parse("log.level = 'error'\nevents.capacity = 99\n" + minimalSettings, "a.toml");
    REQUIRE(before.has_value());
    REQUIRE(after.has_value());
    const auto changes = before->changes(*after);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].key == "log.level");
    CHECK(changes[0].reloadable);
    CHECK_FALSE(changes[1].reloadable);
    const Settings applied = before->reloaded(*after);
    CHECK(applied.values().logLevel == "error");
    CHECK(applied.values().eventsCapacity == before->values().eventsCapacity);
}

TEST_CASE("the reference page in docs is up to date", "[daemon][settings]")
{
    // Guards against documentation that no longer matches the keys.
    std::ifstream stream("docs/configuration.md");
    std::ostringstream page;
    page << stream.rdbuf();
    CHECK(page.str() == settingsReference());
}
