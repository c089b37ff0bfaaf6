#include "model/configreader.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Samphirepitch;

TEST_CASE("the example configurations are read without findings", "[model][configreader]")
{
    const auto [path, domains, slots] = GENERATE(table<const char *, std::size_t, std::uint32_t>(
        { { "examples/dewnet/config.toml", 3, 2 }, { "examples/tugan-kun/config.toml", 4, 3 } }));
    ConfigReader reader;
    reader.readFile(path);
    for (const Finding &finding : reader.findings()) {
        UNSCOPED_INFO(finding.describe());
    }
    CHECK(reader.findings().empty());
    const ConfigSet set = reader.set();
    CHECK(set.failureDomains().size() == domains);
    REQUIRE(set.services().size() == 2);
    std::size_t servers = 0;
    for (const BackendPool &pool : set.pools()) {
        servers += pool.servers().size();
        CHECK(std::all_of(
            pool.servers().begin(), pool.servers().end(), [slots = slots](const auto &server) { return server.slots() == slots; }));
    }
    CHECK(servers == 19);
}

TEST_CASE("each invalid key, type and value is reported with its file and line", "[model][configreader]")
{
    // Guards against silently using a default value because a key or value is mistyped.
    ConfigReader reader;
    reader.readText(R"(
[[service]]
name = "s"
address = "1.2.3.4"
affinity = "sticky"
pool = 7
policy = "p"
polcy = "p"
[[pool]]
name = "p"
[[pool.server]]
name = "a"
address = "1.2.3.4:5"
weight = 101
[[polices]]
)",
        "x.toml");
    std::vector<std::string> lines;
    for (const Finding &finding : reader.findings()) {
        lines.push_back(finding.describe());
    }
    const std::vector<std::string> expected {
        "x.toml:11: error: server p/a: failure_domain = (missing): the key is required",
        "x.toml:14: error: server p/a: weight = 101: use a whole number of 0..100",
        "x.toml:4: error: service s: address = '1.2.3.4': use a string \"a.b.c.d:port\" with a port of 1..65535",
        "x.toml:5: error: service s: affinity = 'sticky': use one of \"flow\", \"request\"",
        "x.toml:6: error: service s: pool = 7: use a string",
        "x.toml:8: error: service s: polcy = 'p': unknown key; allowed are address, affinity, name, policy, pool, protocol",
        "x.toml:15: error: file: polices = [ {} ]: unknown key; allowed are failure_domain, policy, pool, service",
    };
    CHECK(lines == expected);
}

TEST_CASE("invalid TOML and missing files are reported as findings", "[model][configreader]")
{
    ConfigReader reader;
    reader.readText("[[service]\n", "broken.toml");
    reader.readFile("examples/none.toml");
    REQUIRE(reader.findings().size() == 2);
    CHECK(reader.findings()[0].line == 1);
    CHECK(reader.findings()[1].file == "examples/none.toml");
}
