#pragma once

#include "model/configset.h"

#include <cstdint>

namespace Samphirepitch
{

/** Makes configurations with the proportions of the planned deployment: 13 failure domains, about 12 backend servers per service. */
class SyntheticConfig
{
public:
    static constexpr std::uint32_t servers = 74000; /**< backend servers at the planned size */
    static constexpr std::uint32_t addresses = 6200; /**< service addresses at the planned size */
    static constexpr std::uint32_t domains = 13;
    static constexpr std::uint32_t regions = 4;

    /**
     * Makes a configuration of a fraction of the planned size.
     * @param divisor divisor of the numbers of backend servers and addresses
     * @return a valid configuration set
     */
    static ConfigSet make(std::uint32_t divisor);

    /**
     * Returns a copy of @p set in which one backend server has changed between the states Active and Drain.
     * @param pool index of the pool, modulo the number of pools
     * @param server index of the backend server in the pool, modulo their number
     */
    static ConfigSet withToggledServer(const ConfigSet &set, std::size_t pool, std::size_t server);
};

} // namespace Samphirepitch
