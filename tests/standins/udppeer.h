#pragma once

#include "data/proxyheader.h"
#include "objectstore/platformfixture.h"

#include <asio/ip/udp.hpp>

#include <string>
#include <vector>

namespace Samphirepitch::Testing
{

/** A received datagram. */
struct ReceivedDatagram {
    Endpoint sender;
    std::string bytes;

    ProxyHeader header() const
    {
        std::span<const std::uint8_t> payload;
        return ProxyHeader::decode(bytesView(), payload).value();
    }

    std::string payload() const
    {
        std::span<const std::uint8_t> payload;
        REQUIRE(ProxyHeader::decode(bytesView(), payload).has_value());
        return std::string(payload.begin(), payload.end());
    }

    std::span<const std::uint8_t> bytesView() const
    {
        return { reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size() };
    }
};

/** A UDP socket on a free port of 127.0.0.1, in the role of an instance or a caller. */
class UdpPeer
{
public:
    explicit UdpPeer(asio::io_context &context)
        : m_context(context)
        , m_socket(context, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
    }

    Endpoint address() const
    {
        return Endpoint(0x7f000001, m_socket.local_endpoint().port());
    }

    void send(Endpoint target, const std::string &bytes)
    {
        m_socket.send_to(asio::buffer(bytes), asio::ip::udp::endpoint(asio::ip::address_v4(target.address()), target.port()));
    }

    void send(Endpoint target, const ProxyHeader &header, const std::string &payload)
    {
        std::vector<std::uint8_t> head(ProxyHeader::maxSize);
        head.resize(header.encode(head));
        send(target, std::string(head.begin(), head.end()) + payload);
    }

    /** Receives the next datagram; fails the test if none arrives. */
    ReceivedDatagram receive()
    {
        return await(m_context, next());
    }

private:
    asio::awaitable<ReceivedDatagram> next()
    {
        asio::ip::udp::endpoint sender;
        std::string bytes(64 * 1024, '\0');
        bytes.resize(co_await m_socket.async_receive_from(asio::buffer(bytes), sender, asio::use_awaitable));
        co_return ReceivedDatagram { Endpoint(sender.address().to_v4().to_uint(), sender.port()), bytes };
    }

    asio::io_context &m_context;
    asio::ip::udp::socket m_socket;
};

} // namespace Samphirepitch::Testing
