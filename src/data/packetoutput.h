#pragma once

#include "data/proxyheader.h"

#include <span>

namespace Samphirepitch
{

/** Sends the datagrams of a PacketEngine. The payload spans are valid only during the call. Sending may fail silently, as with UDP. */
class PacketOutput
{
public:
    virtual ~PacketOutput() = default;

    /** Sends a datagram to a backend server from the back address, so that responses arrive there. */
    virtual void sendToServer(Endpoint server, const ProxyHeader &header, std::span<const std::uint8_t> payload) = 0;

    /** Sends a datagram to the return address of the fabric, which delivers it to the caller in the header. */
    virtual void sendToFabric(const ProxyHeader &header, std::span<const std::uint8_t> payload) = 0;

    /** Forwards a datagram to the data address of another instance, from the data address of this instance. */
    virtual void sendToInstance(Endpoint instance, const ProxyHeader &header, std::span<const std::uint8_t> payload) = 0;
};

} // namespace Samphirepitch
