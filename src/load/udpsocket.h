#pragma once

#include "core/endpoint.h"
#include "core/error.h"

namespace Samphirepitch
{

/** A UDP socket that is closed on destruction. */
class UdpSocket
{
public:
    /** Opens a socket and binds it to @p address; the port 0 chooses a free port. @return the socket, or InputOutput */
    static Result<UdpSocket> bind(Endpoint address);

    UdpSocket(UdpSocket &&other) noexcept;
    UdpSocket &operator=(UdpSocket &&other) noexcept;
    ~UdpSocket();

    int handle() const;

    /** Returns the bound address, with the chosen port if port 0 was requested. */
    Endpoint address() const;

    /** Blocks until this socket, or @p other if given, has a datagram to read, at most 20 ms. */
    void waitReadable(const UdpSocket *other = nullptr) const;

private:
    explicit UdpSocket(int handle);

    int m_handle;
};

} // namespace Samphirepitch
