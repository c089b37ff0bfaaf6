#pragma once

#include "core/endpoint.h"

#include <cstdint>
#include <string>

namespace Samphirepitch
{

/** The description of one instance: written by the instance itself and forwarded unchanged by others. */
struct PeerRecord {
    std::string id;
    std::string failureDomain;
    Endpoint address; /**< receives gossip messages over UDP and state requests over TCP */
    std::uint64_t startedAt = 0; /**< Unix time in milliseconds; distinguishes incarnations of the same id */
    std::uint64_t heartbeat = 0; /**< counter that the instance increments while it runs */
    bool storeReachable = true; /**< whether the last calls of the instance to the store succeeded */

    friend bool operator==(const PeerRecord &, const PeerRecord &) = default;
};

} // namespace Samphirepitch
