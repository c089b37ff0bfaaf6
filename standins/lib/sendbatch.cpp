#include "lib/sendbatch.h"

#include "lib/socketaddress.h"

namespace Samphirepitch::StandIn
{

SendBatch::SendBatch(int descriptor)
    : m_descriptor(descriptor)
{
    for (std::size_t index = 0; index < capacity; ++index) {
        m_messages[index].msg_hdr.msg_iov = &m_buffers[index];
        m_messages[index].msg_hdr.msg_iovlen = 1;
        m_messages[index].msg_hdr.msg_name = &m_targets[index];
        m_messages[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

void SendBatch::add(Endpoint target, std::span<const std::uint8_t> bytes)
{
    if (m_size == capacity) {
        flush();
    }
    m_targets[m_size] = toSocketAddress(target);
    m_buffers[m_size] = { const_cast<std::uint8_t *>(bytes.data()), bytes.size() };
    ++m_size;
}

void SendBatch::flush()
{
    std::size_t done = 0;
    while (done < m_size) {
        const int count = ::sendmmsg(m_descriptor, m_messages.data() + done, static_cast<unsigned>(m_size - done), MSG_DONTWAIT);
        if (count > 0) {
            done += static_cast<std::size_t>(count);
            m_sent += static_cast<std::uint64_t>(count);
        } else {
            // The first remaining datagram failed: the send buffer is full, or ICMP reported a closed port for an earlier datagram.
            ++done;
            ++m_dropped;
        }
    }
    m_size = 0;
}

std::uint64_t SendBatch::sent() const
{
    return m_sent;
}

std::uint64_t SendBatch::dropped() const
{
    return m_dropped;
}

} // namespace Samphirepitch::StandIn
