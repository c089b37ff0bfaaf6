#include "load/plainrelay.h"

#include "data/datagrambatch.h"

#include <utility>

namespace Samphirepitch
{

PlainRelay::PlainRelay(UdpSocket front, UdpSocket back, const Addresses &addresses)
    : m_front(std::move(front))
    , m_back(std::move(back))
    , m_addresses(addresses)
{
}

Result<PlainRelay> PlainRelay::create(const Addresses &addresses)
{
    auto front = UdpSocket::bind(addresses.front);
    if (!front) {
        return tl::unexpected(front.error());
    }
    auto back = UdpSocket::bind(addresses.back);
    if (!back) {
        return tl::unexpected(back.error());
    }
    return PlainRelay(std::move(*front), std::move(*back), addresses);
}

Endpoint PlainRelay::front() const
{
    return m_front.address();
}

void PlainRelay::run(const std::atomic<bool> &stopped)
{
    DatagramBatch batch;
    const auto relay = [&batch](const UdpSocket &from, const UdpSocket &through, Endpoint receiver) {
        const std::size_t count = batch.receive(from.handle());
        for (std::size_t index = 0; index < count; ++index) {
            batch.addRaw(through.handle(), receiver, batch.datagram(index));
        }
        batch.flush(through.handle());
        return count;
    };
    while (!stopped) {
        const std::size_t forward = relay(m_front, m_back, m_addresses.target);
        const std::size_t backward = relay(m_back, m_front, m_addresses.fabricReturn);
        if (forward + backward == 0) {
            m_front.wait(&m_back);
        }
    }
}

} // namespace Samphirepitch
