#include "load/udpsocket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Samphirepitch
{

namespace
{
constexpr int bufferSize = 4 * 1024 * 1024; // bytes; same as in DataPath
constexpr int pollTimeoutMs = 20; // bounds the delay until a thread notices a stop request
} // namespace

UdpSocket::UdpSocket(int handle)
    : m_handle(handle)
{
}

UdpSocket::UdpSocket(UdpSocket &&other) noexcept
    : m_handle(std::exchange(other.m_handle, -1))
{
}

UdpSocket &UdpSocket::operator=(UdpSocket &&other) noexcept
{
    std::swap(m_handle, other.m_handle);
    return *this;
}

UdpSocket::~UdpSocket()
{
    if (m_handle >= 0) {
        close(m_handle);
    }
}

Result<UdpSocket> UdpSocket::bind(Endpoint address)
{
    UdpSocket opened(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(address.address());
    native.sin_port = htons(address.port());
    if (opened.m_handle < 0 || ::bind(opened.m_handle, reinterpret_cast<const sockaddr *>(&native), sizeof(native)) != 0) {
        return failure(ErrorKind::InputOutput, address.toString(), std::strerror(errno));
    }
    setsockopt(opened.m_handle, SOL_SOCKET, SO_RCVBUF, &bufferSize, sizeof(bufferSize));
    setsockopt(opened.m_handle, SOL_SOCKET, SO_SNDBUF, &bufferSize, sizeof(bufferSize));
    return opened;
}

int UdpSocket::handle() const
{
    return m_handle;
}

Endpoint UdpSocket::address() const
{
    sockaddr_in native {};
    socklen_t size = sizeof(native);
    getsockname(m_handle, reinterpret_cast<sockaddr *>(&native), &size);
    return { ntohl(native.sin_addr.s_addr), ntohs(native.sin_port) };
}

void UdpSocket::waitReadable(const UdpSocket *other) const
{
    std::array<pollfd, 2> waiting { { { m_handle, POLLIN, 0 }, { other ? other->m_handle : -1, POLLIN, 0 } } };
    poll(waiting.data(), waiting.size(), pollTimeoutMs);
}

} // namespace Samphirepitch
