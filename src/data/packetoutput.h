#pragma once

#include "data/proxyheader.h"

#include <span>

namespace Samphirepitch
{

/** Takes the datagrams that a PacketEngine sends. The spans are only valid during the call. */
class PacketOutput
{
public:
    virtual ~PacketOutput() = default;

    /** Sends a datagram to a backend server, from the address at which answers arrive. */
    virtual void toServer(Endpoint server, const ProxyHeader &header, std::span<const std::uint8_t> payload) = 0;

    /** Sends a datagram to a caller, through the fabric's return address. */
    virtual void toFabric(const ProxyHeader &header, std::span<const std::uint8_t> payload) = 0;

    /** Forwards a datagram to another instance, from this instance's data address. */
    virtual void toInstance(Endpoint instance, const ProxyHeader &header, std::span<const std::uint8_t> payload) = 0;
};

} // namespace Samphirepitch
