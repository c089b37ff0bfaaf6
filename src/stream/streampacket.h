#pragma once

#include "core/endpoint.h"

#include <cstdint>

namespace Samphirepitch
{

/** What an instance reads from one packet of a stream flow, as a client sent it. */
struct StreamPacket {
    Endpoint client; /**< the end that opened the flow */
    Endpoint service; /**< the address of the route */
    std::uint32_t token = 0; /**< names the flow's server; 0 if no instance has written one yet */
    bool opens = false; /**< the first packet of a flow, or a copy of it */
    bool finishes = false; /**< the client sends nothing more */
    bool resets = false; /**< the client has given the flow up */
    std::uint16_t length = 0; /**< bytes of data */
    std::uint32_t sequence = 0; /**< number of the first byte of data */
    std::uint32_t acknowledgement = 0; /**< next byte expected from the server; of an opening packet, the number of the copy */

    friend bool operator==(const StreamPacket &, const StreamPacket &) = default;
};

/** A reset that an instance sends to a client. */
struct StreamReset {
    Endpoint client;
    Endpoint service;
    std::uint32_t sequence = 0; /**< the last acknowledgement of the client; any number while the flow is not open */

    friend bool operator==(const StreamReset &, const StreamReset &) = default;
};

} // namespace Samphirepitch
