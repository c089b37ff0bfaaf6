#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Samphirepitch
{

/** Settings of the control plane of an instance. */
struct ControlPlaneSettings {
    std::string deployment; /**< name of the deployment; 1..128 bytes */
    std::string instanceId; /**< 1..128 bytes, unique in the deployment */
    std::uint64_t incarnation = 0; /**< higher than in any earlier run, such as the wall time at the start in milliseconds */
    std::string failureDomain; /**< failure domain that the instance runs in; 1..128 bytes */
    Endpoint peerAddress; /**< TCP address that peers connect to; port 0 selects a free port */
    Endpoint dataAddress; /**< UDP address for packets */
    std::vector<Endpoint> seeds; /**< peer addresses of some instances, possibly including this one; at most 16 */
};

} // namespace Samphirepitch
