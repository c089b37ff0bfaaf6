#include "load/internal/syntheticconfig.h"

#include <string>

namespace Samphirepitch
{

namespace
{

constexpr std::uint32_t loopback = 0x7f000000;
constexpr std::uint32_t serviceNetwork = loopback + 0x00400000;
constexpr std::uint32_t serverNetwork = loopback + 0x00800000;

std::string domainName(std::uint32_t index)
{
    return "domain-" + std::to_string(index % SyntheticConfig::domains);
}

BackendPool makePool(std::uint32_t number, std::uint32_t firstServer, std::uint32_t count)
{
    BackendPool::Fields pool { .name = "pool-" + std::to_string(number) };
    for (std::uint32_t index = firstServer; index < firstServer + count; ++index) {
        pool.servers.push_back(BackendServer({ .name = "server-" + std::to_string(index),
            .failureDomain = domainName(index),
            .address = Endpoint(serverNetwork + index, 7000),
            .health = Endpoint(serverNetwork + index, 8000),
            .slots = 2 }));
    }
    return BackendPool(std::move(pool));
}

} // namespace

ConfigSet SyntheticConfig::make(std::uint32_t divisor)
{
    ConfigSet::Fields fields;
    for (std::uint32_t index = 0; index < domains; ++index) {
        fields.failureDomains.push_back(FailureDomain({ domainName(index), "region-" + std::to_string(index % regions) }));
    }
    fields.policies.push_back(Policy({ .name = "standard", .idempotentMethods = { "tile" } }));
    const std::uint32_t serviceCount = addresses / divisor;
    const std::uint32_t serverCount = servers / divisor;
    for (std::uint32_t number = 0; number < serviceCount; ++number) {
        const auto first = static_cast<std::uint32_t>(std::uint64_t { serverCount } * number / serviceCount);
        const auto last = static_cast<std::uint32_t>(std::uint64_t { serverCount } * (number + 1) / serviceCount);
        fields.pools.push_back(makePool(number, first, last - first));
        fields.services.push_back(Service({ .name = "service-" + std::to_string(number),
            .address = Endpoint(serviceNetwork + number, 7000),
            .pool = "pool-" + std::to_string(number),
            .policy = "standard" }));
    }
    return ConfigSet(std::move(fields));
}

ConfigSet SyntheticConfig::withToggledServer(const ConfigSet &set, std::size_t pool, std::size_t server)
{
    ConfigSet::Fields fields { set.failureDomains(), set.pools(), set.policies(), set.services() };
    const BackendPool &before = fields.pools[pool % fields.pools.size()];
    BackendPool::Fields changed { before.name(), {}, before.domains() };
    for (std::size_t index = 0; index < before.servers().size(); ++index) {
        const BackendServer &old = before.servers()[index];
        const bool isToggled = index == server % before.servers().size();
        const ServerState state = !isToggled ? old.state() : old.state() == ServerState::Active ? ServerState::Drain : ServerState::Active;
        changed.servers.push_back(BackendServer({ .name = old.name(),
            .failureDomain = old.failureDomain(),
            .address = old.address(),
            .health = old.health(),
            .weight = old.weight(),
            .slots = old.slots(),
            .connections = old.connections(),
            .state = state }));
    }
    fields.pools[pool % fields.pools.size()] = BackendPool(std::move(changed));
    return ConfigSet(std::move(fields));
}

} // namespace Samphirepitch
