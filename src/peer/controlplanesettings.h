#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** What an instance knows from its settings when it starts. */
struct ControlPlaneSettings {
    std::string deployment; /**< 1..128 bytes */
    std::string instanceId; /**< 1..128 bytes, unique in the deployment */
    std::uint64_t incarnation = 0; /**< higher than in each previous life, such as the wall time in milliseconds at the start */
    std::string failureDomain; /**< 1..128 bytes */
    Endpoint peerAddress; /**< where peers connect to; port 0 takes a free one */
    Endpoint dataAddress; /**< UDP address for packets */
    std::vector<Endpoint> seeds; /**< peer addresses of some instances; may contain the own one; at most 16 */
};

} // namespace Samphirepitch
