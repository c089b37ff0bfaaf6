#pragma once

#include "model/configset.h"

#include <cstdint>

namespace Samphirepitch
{

/** Makes configurations of the shape of the planned size: 13 failure domains and about 12 backend servers a service. */
class SyntheticConfig
{
public:
    static constexpr std::uint32_t servers = 74000; /**< backend servers at the planned size */
    static constexpr std::uint32_t addresses = 6200; /**< service addresses at the planned size */
    static constexpr std::uint32_t domains = 13;
    static constexpr std::uint32_t regions = 4;

    /**
     * @param divisor the planned size is divided by this
     * @return a set that passes the checks
     */
    static ConfigSet make(std::uint32_t divisor);

    /** Returns @p set with the state of one backend server of the pool @p pool turned over. */
    static ConfigSet withToggledServer(const ConfigSet &set, std::size_t pool, std::size_t server);
};

} // namespace Samphirepitch
