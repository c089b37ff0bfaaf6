#pragma once

#include "core/endpoint.h"

#include <cstdint>

namespace Samphirepitch
{

/** The decoded fields of a packet that a client sent in a stream flow. */
struct StreamPacket {
    Endpoint client; /**< address of the client, which opened the flow */
    Endpoint service; /**< destination address, which selects the route */
    std::uint32_t token = 0; /**< identifies the flow's server; 0 if no instance has set it yet */
    bool opens = false; /**< whether it is the opening packet of a flow, or a retransmission of it */
    bool finishes = false; /**< whether the client sends no more data */
    bool resets = false; /**< whether the client has aborted the flow */
    std::uint16_t length = 0; /**< data size in bytes */
    std::uint32_t sequence = 0; /**< sequence number of the first byte of data */
    std::uint32_t acknowledgement = 0; /**< next byte expected from the server; in an opening packet, how often it was retransmitted */

    friend bool operator==(const StreamPacket &, const StreamPacket &) = default;
};

/** A reset that an instance sends to a client. */
struct StreamReset {
    Endpoint client;
    Endpoint service;
    std::uint32_t sequence = 0; /**< the last acknowledgement number of the client; any value if the flow is not open */

    friend bool operator==(const StreamReset &, const StreamReset &) = default;
};

} // namespace Samphirepitch
