#include "lib/receivebatch.h"

#include "lib/socketaddress.h"

#include <algorithm>

namespace Samphirepitch::StandIn
{

ReceiveBatch::ReceiveBatch()
    : m_bytes(capacity * slotSize)
{
    for (std::size_t index = 0; index < capacity; ++index) {
        m_buffers[index] = { m_bytes.data() + index * slotSize + headroom, maxDatagramSize };
        m_messages[index].msg_hdr.msg_iov = &m_buffers[index];
        m_messages[index].msg_hdr.msg_iovlen = 1;
        m_messages[index].msg_hdr.msg_name = &m_senders[index];
    }
}

std::size_t ReceiveBatch::receive(int descriptor)
{
    for (mmsghdr &message : m_messages) {
        message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    const int count = ::recvmmsg(descriptor, m_messages.data(), capacity, MSG_DONTWAIT, nullptr);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

bool ReceiveBatch::isTruncated(std::size_t index) const
{
    return (m_messages[index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
}

std::span<std::uint8_t> ReceiveBatch::datagram(std::size_t index)
{
    return { m_bytes.data() + index * slotSize + headroom, isTruncated(index) ? 0 : m_messages[index].msg_len };
}

std::span<std::uint8_t> ReceiveBatch::prependHeader(std::size_t index, const ProxyHeader &header)
{
    std::array<std::uint8_t, ProxyHeader::maxSize> encoded {};
    const std::size_t size = header.encode(encoded);
    const std::span<std::uint8_t> payload = datagram(index);
    std::uint8_t *const begin = payload.data() - size;
    std::copy_n(encoded.begin(), size, begin);
    return { begin, size + payload.size() };
}

Endpoint ReceiveBatch::sender(std::size_t index) const
{
    return fromSocketAddress(m_senders[index]);
}

} // namespace Samphirepitch::StandIn
