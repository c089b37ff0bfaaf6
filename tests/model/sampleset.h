#pragma once

#include "model/configset.h"

namespace Samphirepitch::Tests
{

/** Returns the objects of a small valid configuration: two failure domains, a pool of two servers, a policy and a service. */
inline ConfigSet::Fields sampleFields()
{
    const auto server = [](std::string name, std::string domain, std::uint16_t port) {
        return BackendServer({ .name = std::move(name),
            .failureDomain = std::move(domain),
            .address = Endpoint(0x7f0a0101, port),
            .health = Endpoint(0x7f0a0101, static_cast<std::uint16_t>(port + 1000)) });
    };
    ConfigSet::Fields fields;
    fields.failureDomains = { FailureDomain({ "okene", "kogi" }), FailureDomain({ "lokoja", "kogi" }) };
    fields.pools
        = { BackendPool({ "pond", { server("pond-01", "lokoja", 7001), server("pond-02", "okene", 7002) }, { "lokoja", "okene" } }) };
    fields.policies = { Policy({ .name = "keeper", .idempotentMethods = { "read" } }) };
    fields.services = { Service({ .name = "pondwatch", .address = Endpoint(0x7f0a0001, 7000), .pool = "pond", .policy = "keeper" }) };
    return fields;
}

} // namespace Samphirepitch::Tests
