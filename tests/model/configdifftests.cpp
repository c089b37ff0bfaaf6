#include "model/configdiff.h"
#include "model/sampleset.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

TEST_CASE("equal configurations have no differences", "[model][configdiff]")
{
    const ConfigSet set(sampleFields());
    CHECK(ConfigDiff::between(set, set).changes().empty());
    CHECK(ConfigDiff::between(set, set).toText().empty());
    CHECK(ConfigDiff::between(set, set).toJson() == "[]");
}

TEST_CASE("added, removed and changed objects are shown with their fields", "[model][configdiff]")
{
    ConfigSet::Fields fields = sampleFields();
    const ConfigSet from(fields);
    fields.failureDomains = { FailureDomain({ "lokoja", "kogi" }), FailureDomain({ "abaji", "fct" }) };
    fields.pools = { BackendPool({ "pond", { fields.pools[0].servers()[0] }, { "lokoja" } }) };
    fields.policies = { Policy({ .name = "keeper", .queueLimit = 7, .idempotentMethods = { "list", "read" } }) };
    const ConfigDiff diff = ConfigDiff::between(from, ConfigSet(fields));
    CHECK(diff.toText() == R"(+ failure_domain abaji
    region: fct
- failure_domain okene
    region: kogi
~ policy keeper
    idempotent_methods: [read] -> [list, read]
    queue_limit: 256 -> 7
~ pool pond
    domains: [lokoja, okene] -> [lokoja]
- server pond/pond-02
    address: 127.10.1.1:7002
    connections: 2000
    failure_domain: okene
    health: 127.10.1.1:8002
    slots: 1
    state: active
    weight: 100
)");
    CHECK_THAT(diff.toJson(), Catch::Contains("\"object\": \"failure_domain abaji\""));
}
