#pragma once

#include "model/configgeneration.h"

#include <string>
#include <vector>

namespace Samphirepitch
{

/** Builds small configurations for the tests of routing, requests and the data path. */
class SamplePools
{
public:
    /** Returns @p count active servers s00, s01, ... at 127.0.20.0:9000 and up, in the failure domains a, b and c in turn. */
    static std::vector<BackendServer::Fields> servers(std::size_t count)
    {
        std::vector<BackendServer::Fields> result;
        for (std::size_t index = 0; index < count; ++index) {
            const std::string digits = (index < 10 ? "0" : "") + std::to_string(index);
            result.push_back({ .name = "s" + digits,
                .failureDomain = std::string(1, static_cast<char>('a' + index % 3)),
                .address = Endpoint(0x7f001400U + static_cast<std::uint32_t>(index), 9000) });
        }
        return result;
    }

    /** Returns a pool named "pool". */
    static BackendPool pool(const std::vector<BackendServer::Fields> &servers)
    {
        BackendPool::Fields fields { .name = "pool" };
        for (const BackendServer::Fields &server : servers) {
            fields.servers.emplace_back(server);
        }
        return BackendPool(fields);
    }

    static Endpoint serviceAddress()
    {
        return Endpoint(0x7f000a01, 7000);
    }

    /** Returns a configuration generation with one service named "svc" at serviceAddress(). */
    static ConfigGeneration generation(std::uint64_t number, const std::vector<BackendServer::Fields> &servers,
        Affinity affinity = Affinity::Flow, Protocol protocol = Protocol::Rpc, Policy::Fields policy = {})
    {
        policy.name = "policy";
        if (policy.idempotentMethods.empty()) {
            policy.idempotentMethods = { "tile" };
        }
        ConfigSet::Fields fields;
        fields.pools.push_back(pool(servers));
        fields.policies.emplace_back(policy);
        fields.services.emplace_back(Service::Fields {
            .name = "svc", .address = serviceAddress(), .protocol = protocol, .affinity = affinity, .pool = "pool", .policy = "policy" });
        return { { number, {} }, std::make_shared<const ConfigSet>(std::move(fields)) };
    }
};

} // namespace Samphirepitch
