#include "model/configchecker.h"
#include "model/configreader.h"
#include "model/sampleset.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

namespace
{

std::vector<std::string> findingLines(const ConfigSet::Fields &fields)
{
    std::vector<std::string> lines;
    for (const Finding &finding : ConfigChecker::check(ConfigSet(fields))) {
        lines.push_back(finding.object + "|" + finding.field + "|" + finding.value);
    }
    return lines;
}

BackendServer server(std::string name, std::string domain, Endpoint address, std::uint32_t weight, ServerState state = ServerState::Active)
{
    return BackendServer(
        { .name = std::move(name), .failureDomain = std::move(domain), .address = address, .weight = weight, .state = state });
}

using Lines = std::vector<std::string>;

} // namespace

TEST_CASE("valid configurations have no findings", "[model][configchecker]")
{
    CHECK(findingLines(sampleFields()).empty());
    const auto *path = GENERATE("examples/dewnet/config.toml", "examples/tugan-kun/config.toml");
    ConfigReader reader;
    reader.readFile(path);
    CHECK(ConfigChecker::check(reader.set()).empty());
}

TEST_CASE("invalid references are reported", "[model][configchecker]")
{
    ConfigSet::Fields fields = sampleFields();
    SECTION("to objects that do not exist")
    {
        fields.services = { Service({ .name = "s", .address = Endpoint(1, 1), .pool = "pol", .policy = "kep" }) };
        fields.failureDomains.pop_back();
        CHECK(findingLines(fields)
            == Lines { "server pond/pond-01|failure_domain|lokoja", "pool pond|domains|lokoja", "service s|pool|pol",
                "service s|policy|kep", "pool pond||", "policy keeper||" });
    }
    SECTION("in a cycle of policies, which would make a lookup endless")
    {
        fields.policies = { Policy({ .name = "keeper", .fallback = "b" }), Policy({ .name = "b", .fallback = "c" }),
            Policy({ .name = "c", .fallback = "b" }) };
        CHECK(findingLines(fields) == Lines { "policy b|fallback|c" });
    }
    SECTION("of a policy to itself")
    {
        fields.policies = { Policy({ .name = "keeper", .fallback = "keeper" }) };
        CHECK(findingLines(fields) == Lines { "policy keeper|fallback|keeper" });
    }
}

TEST_CASE("invalid names are reported", "[model][configchecker]")
{
    ConfigSet::Fields fields = sampleFields();
    SECTION("duplicates")
    {
        fields.failureDomains.push_back(FailureDomain({ "okene", "kogi" }));
        CHECK(findingLines(fields) == Lines { "failure_domain okene|name|okene" });
    }
    SECTION("an invalid length or character")
    {
        const auto name = GENERATE(std::string(), std::string("Okene"), std::string("a/b"), std::string(64, 'a'));
        fields.failureDomains.push_back(FailureDomain({ name, "kogi" }));
        CHECK(findingLines(fields) == Lines { "failure_domain " + name + "|name|" + name });
    }
}

TEST_CASE("an address that is used twice is reported", "[model][configchecker]")
{
    // Guards against mixing the packets of two services, which two objects with the same address would do (invariant 2).
    ConfigSet::Fields fields = sampleFields();
    SECTION("by a service and another service")
    {
        fields.services.push_back(Service({ .name = "z", .address = Endpoint(0x7f0a0001, 7000), .pool = "pond", .policy = "keeper" }));
        CHECK(findingLines(fields) == Lines { "service z|address|127.10.0.1:7000" });
    }
    SECTION("by a service and a backend server")
    {
        fields.pools = { BackendPool({ "pond", { server("a", "okene", Endpoint(0x7f0a0001, 7000), 1) }, {} }) };
        CHECK(findingLines(fields) == Lines { "server pond/a|address|127.10.0.1:7000" });
    }
    SECTION("by backend servers of two pools")
    {
        fields.pools.push_back(BackendPool({ "z", { server("a", "okene", Endpoint(0x7f0a0101, 7001), 1) }, {} }));
        CHECK(findingLines(fields) == Lines { "server z/a|address|127.10.1.1:7001", "pool z||" });
    }
}

TEST_CASE("a pool without a server that accepts new work is reported", "[model][configchecker]")
{
    ConfigSet::Fields fields = sampleFields();
    SECTION("in one of the listed failure domains")
    {
        fields.pools = { BackendPool(
            { "pond", { server("a", "okene", Endpoint(2, 1), 1), server("b", "lokoja", Endpoint(2, 2), 1, ServerState::Drain) },
                { "lokoja", "okene" } }) };
        CHECK(findingLines(fields) == Lines { "pool pond|domains|lokoja" });
    }
    SECTION("all servers have a weight of 0")
    {
        fields.pools = { BackendPool({ "pond", { server("a", "okene", Endpoint(2, 1), 0) }, {} }) };
        CHECK(findingLines(fields) == Lines { "pool pond|weight|0" });
    }
    SECTION("the pool has no servers")
    {
        fields.pools = { BackendPool({ "pond", {}, {} }) };
        CHECK(findingLines(fields) == Lines { "pool pond|server|(none)" });
    }
}

TEST_CASE("all values out of range are reported", "[model][configchecker]")
{
    ConfigSet::Fields fields = sampleFields();
    fields.pools = { BackendPool({ "pond",
        { BackendServer(
            { .name = "a", .failureDomain = "okene", .address = Endpoint(2, 1), .weight = 101, .slots = 0, .connections = 0 }) },
        {} }) };
    fields.policies = { Policy({ .name = "keeper",
        .requestTimeout = std::chrono::milliseconds(20000),
        .queueLimit = 100001,
        .retryBudgetPercent = 101,
        .drainTimeout = std::chrono::milliseconds(0) }) };
    CHECK(findingLines(fields)
        == Lines { "policy keeper|queue_limit|100001", "policy keeper|retry_budget_percent|101", "policy keeper|drain_timeout_ms|0",
            "policy keeper|repeat_window_ms|10000", "server pond/a|weight|101", "server pond/a|slots|0", "server pond/a|connections|0" });
}
