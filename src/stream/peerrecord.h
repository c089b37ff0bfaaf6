#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>

namespace Samphirepitch
{

/** What an instance says of itself; passed on by others. */
struct PeerRecord {
    std::string id;
    std::string failureDomain;
    Endpoint address; /**< UDP for news and TCP for states */
    std::uint64_t startedAt = 0; /**< Unix time in milliseconds; tells incarnations apart */
    std::uint64_t heartbeat = 0; /**< rises while the instance runs */
    bool storeReachable = true; /**< false if its last call to the store failed */

    friend bool operator==(const PeerRecord &, const PeerRecord &) = default;
};

} // namespace Samphirepitch
