#include "data/datagrambatch.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <vector>

namespace Samphirepitch
{

namespace
{

constexpr std::size_t iovecsPerDatagram = 2; // header and payload

sockaddr_in toSockaddr(Endpoint endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address());
    address.sin_port = htons(endpoint.port());
    return address;
}

} // namespace

struct DatagramBatch::Buffers {
    std::unique_ptr<std::uint8_t[]>
        receiveBuffer; /**< allocated by the first receive(); uninitialized, so that the kernel maps only pages that are written */
    std::array<mmsghdr, maxDatagrams> receiveMessages {};
    std::array<iovec, maxDatagrams> receiveIovecs {};
    std::array<sockaddr_in, maxDatagrams> senders {};

    std::array<mmsghdr, maxDatagrams> sendMessages {};
    std::array<std::array<iovec, iovecsPerDatagram>, maxDatagrams> sendIovecs {};
    std::array<sockaddr_in, maxDatagrams> receivers {};
    std::array<std::array<std::uint8_t, ProxyHeader::maxSize>, maxDatagrams> headers {};
    std::array<std::vector<std::uint8_t>, maxDatagrams> payloadCopies; /**< overwritten in place, so that their capacity is reused */
};

DatagramBatch::DatagramBatch()
    : m_buffers(std::make_unique<Buffers>())
{
    Buffers &buffers = *m_buffers;
    for (std::size_t index = 0; index < maxDatagrams; ++index) {
        buffers.receiveMessages[index].msg_hdr.msg_iov = &buffers.receiveIovecs[index];
        buffers.receiveMessages[index].msg_hdr.msg_iovlen = 1;
        buffers.receiveMessages[index].msg_hdr.msg_name = &buffers.senders[index];
        buffers.sendMessages[index].msg_hdr.msg_iov = buffers.sendIovecs[index].data();
        buffers.sendMessages[index].msg_hdr.msg_name = &buffers.receivers[index];
        buffers.sendMessages[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

DatagramBatch::~DatagramBatch() = default;

void DatagramBatch::allocateReceiveBuffers()
{
    Buffers &buffers = *m_buffers;
    if (!buffers.receiveBuffer) {
        buffers.receiveBuffer = std::make_unique_for_overwrite<std::uint8_t[]>(maxDatagrams * maxDatagramSize);
    }
    for (std::size_t index = 0; index < maxDatagrams; ++index) {
        buffers.receiveIovecs[index] = { buffers.receiveBuffer.get() + index * maxDatagramSize, maxDatagramSize };
        buffers.receiveMessages[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

std::size_t DatagramBatch::receive(int socket)
{
    allocateReceiveBuffers();
    while (true) {
        const int count = recvmmsg(socket, m_buffers->receiveMessages.data(), maxDatagrams, MSG_DONTWAIT, nullptr);
        if (count >= 0) {
            return static_cast<std::size_t>(count);
        }
        // ECONNREFUSED reports that an earlier outgoing datagram found its port unreachable. It must not end the read.
        if (errno != EINTR && errno != ECONNREFUSED) {
            return 0;
        }
    }
}

std::span<const std::uint8_t> DatagramBatch::datagram(std::size_t index) const
{
    return { m_buffers->receiveBuffer.get() + index * maxDatagramSize, m_buffers->receiveMessages[index].msg_len };
}

std::span<std::uint8_t> DatagramBatch::mutableDatagram(std::size_t index)
{
    return { m_buffers->receiveBuffer.get() + index * maxDatagramSize, m_buffers->receiveMessages[index].msg_len };
}

Endpoint DatagramBatch::sender(std::size_t index) const
{
    const sockaddr_in &address = m_buffers->senders[index];
    return { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
}

void DatagramBatch::add(int socket, Endpoint receiver, const ProxyHeader &header, std::span<const std::uint8_t> payload, bool copyPayload)
{
    if (m_queued == maxDatagrams) {
        flush(socket);
    }
    Buffers &buffers = *m_buffers;
    const std::size_t index = m_queued++;
    if (copyPayload) {
        buffers.payloadCopies[index].assign(payload.begin(), payload.end());
        payload = buffers.payloadCopies[index];
    }
    buffers.receivers[index] = toSockaddr(receiver);
    buffers.sendIovecs[index][0] = { buffers.headers[index].data(), header.encode(buffers.headers[index]) };
    buffers.sendIovecs[index][1] = { const_cast<std::uint8_t *>(payload.data()), payload.size() };
    buffers.sendMessages[index].msg_hdr.msg_iovlen = 2;
}

void DatagramBatch::addRaw(int socket, Endpoint receiver, std::span<const std::uint8_t> bytes)
{
    if (m_queued == maxDatagrams) {
        flush(socket);
    }
    Buffers &buffers = *m_buffers;
    const std::size_t index = m_queued++;
    buffers.receivers[index] = toSockaddr(receiver);
    buffers.sendIovecs[index][0] = { const_cast<std::uint8_t *>(bytes.data()), bytes.size() };
    buffers.sendMessages[index].msg_hdr.msg_iovlen = 1;
}

void DatagramBatch::addPrefixed(
    int socket, Endpoint receiver, std::span<const std::uint8_t, prefixSize> prefix, std::span<const std::uint8_t> bytes)
{
    if (m_queued == maxDatagrams) {
        flush(socket);
    }
    static_assert(prefixSize <= ProxyHeader::maxSize);
    Buffers &buffers = *m_buffers;
    const std::size_t index = m_queued++;
    std::copy(prefix.begin(), prefix.end(), buffers.headers[index].begin());
    buffers.receivers[index] = toSockaddr(receiver);
    buffers.sendIovecs[index][0] = { buffers.headers[index].data(), prefixSize };
    buffers.sendIovecs[index][1] = { const_cast<std::uint8_t *>(bytes.data()), bytes.size() };
    buffers.sendMessages[index].msg_hdr.msg_iovlen = 2;
}

void DatagramBatch::flush(int socket)
{
    std::size_t sent = 0;
    while (sent < m_queued) {
        const int count = sendmmsg(socket, m_buffers->sendMessages.data() + sent, static_cast<unsigned>(m_queued - sent), MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
        } else if (errno != EINTR) {
            ++sent; // skip only the first datagram, which failed; the others may have other receivers
            ++m_dropped;
        }
    }
    m_queued = 0;
}

std::uint64_t DatagramBatch::dropped() const
{
    return m_dropped;
}

} // namespace Samphirepitch
