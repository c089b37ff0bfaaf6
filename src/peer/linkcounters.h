#pragma once

#include "peer/message.h"

#include <array>
#include <cstdint>

namespace Samphirepitch
{

/** Counters of the links of an instance, summed over all links. */
struct LinkCounters {
    std::array<std::uint64_t, std::variant_size_v<Message>> sentBytes {}; /**< by message type, with frame headers */
    std::array<std::uint64_t, std::variant_size_v<Message>> receivedBytes {}; /**< by message type, with frame headers */
    std::array<std::uint64_t, std::variant_size_v<Message>> sentMessages {}; /**< by message type */
    std::uint64_t badInput = 0; /**< links closed because of an invalid frame or message */
    std::uint64_t wrongPeer = 0; /**< links closed because the peer has another deployment or protocol version */
    std::uint64_t slowPeers = 0; /**< links closed because their send queue was full */
    std::uint64_t timeouts = 0; /**< links closed because of a missed deadline */
    std::uint64_t refused = 0; /**< connections refused because of the connection limit */
};

} // namespace Samphirepitch
