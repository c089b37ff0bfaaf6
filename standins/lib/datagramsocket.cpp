#include "lib/datagramsocket.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>

namespace Samphirepitch::StandIn
{

namespace
{

constexpr int bufferSize = 4 * 1024 * 1024; // bytes; the kernel may limit it

} // namespace

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::bind(const asio::any_io_executor &executor, Endpoint address)
{
    asio::ip::udp::socket socket(executor);
    const asio::ip::udp::endpoint target(asio::ip::address_v4(address.address()), address.port());
    std::error_code error;
    socket.open(target.protocol(), error);
    if (!error) {
        socket.bind(target, error);
    }
    if (error) {
        return failure(ErrorKind::InputOutput, address.toString(), error.message());
    }
    std::error_code ignored;
    socket.set_option(asio::socket_base::receive_buffer_size(bufferSize), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(bufferSize), ignored);
    const Endpoint bound(address.address(), socket.local_endpoint(ignored).port());
    return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(socket), bound));
}

DatagramSocket::DatagramSocket(asio::ip::udp::socket socket, Endpoint address)
    : m_socket(std::move(socket))
    , m_address(address)
    , m_outgoing(m_socket.native_handle())
{
}

asio::awaitable<bool> DatagramSocket::waitForDatagram()
{
    std::error_code error;
    co_await m_socket.async_wait(asio::socket_base::wait_read, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

Endpoint DatagramSocket::address() const
{
    return m_address;
}

int DatagramSocket::descriptor()
{
    return m_socket.native_handle();
}

SendBatch &DatagramSocket::outgoing()
{
    return m_outgoing;
}

void DatagramSocket::close()
{
    std::error_code ignored;
    m_socket.close(ignored);
}

} // namespace Samphirepitch::StandIn
