#pragma once

#include "core/endpoint.h"
#include "core/error.h"

namespace Samphirepitch
{

/** A UDP socket that closes itself. */
class UdpSocket
{
public:
    /** Binds a socket to @p address; the port may be 0. @return the socket, or InputOutput */
    static Result<UdpSocket> bind(Endpoint address);

    UdpSocket(UdpSocket &&other) noexcept;
    UdpSocket &operator=(UdpSocket &&other) noexcept;
    ~UdpSocket();

    int handle() const;

    /** Returns the address with the port that was chosen for port 0. */
    Endpoint address() const;

    /** Waits until a datagram of this socket or of @p other waits, at most 20 ms. */
    void waitReadable(const UdpSocket *other = nullptr) const;

private:
    explicit UdpSocket(int handle);

    int m_handle;
};

} // namespace Samphirepitch
