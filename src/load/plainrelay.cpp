#include "load/plainrelay.h"

#include "data/datagrambatch.h"

#include <utility>

namespace Samphirepitch
{

PlainRelay::PlainRelay(UdpSocket frontend, UdpSocket backend, const Addresses &addresses)
    : m_frontend(std::move(frontend))
    , m_backend(std::move(backend))
    , m_addresses(addresses)
{
}

Result<PlainRelay> PlainRelay::create(const Addresses &addresses)
{
    auto frontend = UdpSocket::bind(addresses.frontend);
    if (!frontend) {
        return tl::unexpected(frontend.error());
    }
    auto backend = UdpSocket::bind(addresses.backend);
    if (!backend) {
        return tl::unexpected(backend.error());
    }
    return PlainRelay(std::move(*frontend), std::move(*backend), addresses);
}

Endpoint PlainRelay::frontend() const
{
    return m_frontend.address();
}

void PlainRelay::run(const std::atomic<bool> &stopped)
{
    DatagramBatch batch;
    const auto relay = [&batch](const UdpSocket &input, const UdpSocket &output, Endpoint receiver) {
        const std::size_t count = batch.receive(input.handle());
        for (std::size_t index = 0; index < count; ++index) {
            batch.addRaw(output.handle(), receiver, batch.datagram(index));
        }
        batch.flush(output.handle());
        return count;
    };
    while (!stopped) {
        const std::size_t toTarget = relay(m_frontend, m_backend, m_addresses.target);
        const std::size_t toReturnAddress = relay(m_backend, m_frontend, m_addresses.fabricReturn);
        if (toTarget + toReturnAddress == 0) {
            m_frontend.waitReadable(&m_backend);
        }
    }
}

} // namespace Samphirepitch
