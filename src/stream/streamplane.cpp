#include "stream/streamplane.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>

namespace Samphirepitch
{

namespace
{

using std::chrono::milliseconds;

// A quarter of the time after which an answer is looked into.
constexpr milliseconds checkInterval { 25 };

// Held packets wait for the first answers of the store, which take a few milliseconds.
constexpr milliseconds heldCheckInterval { 5 };

// Many round trips between failure domains; a host that lives refuses within one.
constexpr milliseconds connectTimeout { 120 };

// Each probe holds a descriptor; when a failure domain is cut off, all of its servers become due at once.
constexpr std::size_t maxRunningProbes = 64;

// Packets of a burst wait here while the process has no share of the processor.
constexpr int receiveBufferSize = 1 << 20; // bytes

} // namespace

StreamPlane::StreamPlane(asio::any_io_executor executor, Parts parts, Endpoint address)
    : m_executor(std::move(executor))
    , m_clock(parts.clock)
    , m_router(parts.router)
    , m_codec(parts.codec)
    , m_probe(parts.probe)
    , m_address(address)
    , m_socket(m_executor)
{
}

Result<std::unique_ptr<StreamPlane>> StreamPlane::create(asio::any_io_executor executor, Parts parts, Endpoint address)
{
    std::unique_ptr<StreamPlane> plane(new StreamPlane(std::move(executor), parts, address));
    if (auto bound = plane->bind(); !bound) {
        return tl::unexpected(bound.error());
    }
    return plane;
}

Result<void> StreamPlane::bind()
{
    std::error_code error;
    m_socket.open(asio::ip::udp::v4(), error);
    if (!error) {
        std::error_code ignored; // a smaller buffer only loses more packets in a burst
        m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferSize), ignored);
        m_socket.bind({ asio::ip::address_v4(m_address.address()), m_address.port() }, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        return failure(ErrorKind::InputOutput, m_address.toString(), error.message());
    }
    m_address = Endpoint(m_address.address(), m_socket.local_endpoint(error).port());
    return {};
}

asio::awaitable<Result<void>> StreamPlane::forwardPackets()
{
    while (true) {
        std::error_code error;
        co_await m_socket.async_wait(asio::ip::udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return failure(ErrorKind::InputOutput, m_address.toString(), error.message());
        }
        std::size_t count = m_batch.receive(m_socket.native_handle());
        while (count > 0) {
            m_received += count;
            for (std::size_t index = 0; index < count; ++index) {
                forward(m_batch.mutableDatagram(index));
            }
            m_batch.flush(m_socket.native_handle());
            count = count == DatagramBatch::maxDatagrams ? m_batch.receive(m_socket.native_handle()) : 0;
        }
        sendResets();
    }
}

asio::awaitable<Result<void>> StreamPlane::runChecks()
{
    asio::steady_timer timer(m_executor);
    while (true) {
        timer.expires_after(m_held.empty() ? checkInterval : heldCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
        sendHeld();
        m_router.tick();
        startDueProbes();
        sendResets();
    }
}

void StreamPlane::forward(std::span<std::uint8_t> bytes)
{
    const std::optional<StreamPacket> packet = m_codec.decode(bytes);
    if (!packet) {
        m_router.recordUnreadable(bytes.size());
        return;
    }
    if (!m_router.isReady() && m_held.hold(bytes, m_clock.now())) {
        ++m_heldCount;
        return;
    }
    const StreamDecision decision = m_router.route(*packet);
    if (decision.action == StreamDecision::Action::Reset) {
        reset({ packet->client, packet->service, packet->acknowledgement });
    } else if (decision.action == StreamDecision::Action::Forward) {
        m_codec.writeToken(bytes, decision.token);
        m_batch.addPrefixed(m_socket.native_handle(), decision.server->address, m_codec.prefix(decision.server->number), bytes);
    }
}

void StreamPlane::reset(const StreamReset &reset)
{
    std::array<std::uint8_t, PacketCodec::maxResetSize> buffer {};
    const std::size_t size = m_codec.encode(reset, buffer);
    const asio::ip::udp::endpoint client(asio::ip::address_v4(reset.client.address()), m_address.port());
    std::error_code error;
    m_socket.send_to(asio::buffer(buffer.data(), size), client, 0, error);
    // A reset that the socket does not take is lost like any datagram; the client's next packet causes another.
    m_resetsSent += error ? 0 : 1;
}

void StreamPlane::sendResets()
{
    for (const StreamReset &due : m_router.takeResets()) {
        reset(due);
    }
}

void StreamPlane::sendHeld()
{
    if (m_held.empty() || !m_router.isReady()) {
        return;
    }
    std::vector<std::vector<std::uint8_t>> packets = m_held.take(m_clock.now());
    for (std::vector<std::uint8_t> &packet : packets) {
        forward(packet);
    }
    m_batch.flush(m_socket.native_handle());
}

void StreamPlane::startDueProbes()
{
    for (ProbeTarget &target : m_router.takeDueProbes(maxRunningProbes - m_runningProbes)) {
        asio::co_spawn(m_executor, probe(std::move(target)), asio::detached);
    }
}

asio::awaitable<void> StreamPlane::probe(ProbeTarget target)
{
    ++m_runningProbes;
    ++m_probes;
    const TimePoint begun = m_clock.now();
    const ConnectResult result = co_await m_probe.connect(target.address, begun + connectTimeout);
    --m_runningProbes;
    m_router.recordProbeResult(target.token, result, begun);
    sendResets();
}

Endpoint StreamPlane::address() const
{
    return m_address;
}

void StreamPlane::writeMetrics(MetricWriter &writer) const
{
    writer.counter("samphirepitch_datagrams_received_total", "Datagrams read from the fabric.", {}, m_received);
    writer.counter("samphirepitch_packets_held_total", "Packets that arrived before routes and servers were known.", {}, m_heldCount);
    writer.counter("samphirepitch_datagrams_unsent_total", "Datagrams that the socket did not take.", {}, m_batch.dropped());
    writer.counter("samphirepitch_resets_sent_total", "Resets sent to clients.", {}, m_resetsSent);
    writer.counter("samphirepitch_server_connections_total", "Connections made to look into servers.", {}, m_probes);
}

} // namespace Samphirepitch
