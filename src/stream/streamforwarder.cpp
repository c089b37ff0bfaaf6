#include "stream/streamforwarder.h"

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

// Interval of the periodic work: a quarter of the time after which a response is overdue.
constexpr milliseconds checkInterval { 25 };

// Interval while packets are held. They wait for the first responses of the store or for room at a server, which takes a few milliseconds.
constexpr milliseconds heldCheckInterval { 5 };

// Time limit of a probe: many round trips between failure domains. A running host refuses a connection within one round trip.
constexpr milliseconds connectTimeout { 120 };

// Each probe uses a file descriptor, and when a failure domain is unreachable, all of its servers become due for a probe at once.
constexpr std::size_t maxRunningProbes = 64;

// Batches that are forwarded before other tasks run. Packets that arrive faster than they are forwarded must not hold up the checks, the
// messages of other instances or a stop.
constexpr std::size_t maxBatchesAtOnce = 4;

// The socket buffers the packets of a burst while the process is not scheduled.
constexpr int receiveBufferSize = 1 << 20; // bytes

} // namespace

StreamForwarder::StreamForwarder(asio::any_io_executor executor, Dependencies dependencies, Endpoint address)
    : m_executor(std::move(executor))
    , m_clock(dependencies.clock)
    , m_router(dependencies.router)
    , m_codec(dependencies.codec)
    , m_probe(dependencies.probe)
    , m_address(address)
    , m_socket(m_executor)
{
}

Result<std::unique_ptr<StreamForwarder>> StreamForwarder::create(
    asio::any_io_executor executor, Dependencies dependencies, Endpoint address)
{
    std::unique_ptr<StreamForwarder> forwarder(new StreamForwarder(std::move(executor), dependencies, address));
    if (auto bound = forwarder->bind(); !bound) {
        return tl::unexpected(bound.error());
    }
    return forwarder;
}

Result<void> StreamForwarder::bind()
{
    std::error_code error;
    m_socket.open(asio::ip::udp::v4(), error);
    if (!error) {
        std::error_code ignored; // with a smaller buffer, more packets of a burst are lost
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

asio::awaitable<Result<void>> StreamForwarder::forwardPackets()
{
    while (true) {
        std::error_code error;
        co_await m_socket.async_wait(asio::ip::udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        forwardWaiting(); // after a cancellation too: nobody else will forward what has arrived
        if (error) {
            co_return failure(ErrorKind::InputOutput, m_address.toString(), error.message());
        }
    }
}

void StreamForwarder::forwardWaiting()
{
    std::size_t count = DatagramBatch::maxDatagrams;
    for (std::size_t batch = 0; batch < maxBatchesAtOnce && count == DatagramBatch::maxDatagrams; ++batch) {
        count = m_batch.receive(m_socket.native_handle());
        m_receivedCount += count;
        for (std::size_t index = 0; index < count; ++index) {
            forward(m_batch.mutableDatagram(index));
        }
        m_batch.flush(m_socket.native_handle());
    }
    sendResolved();
    sendResets();
}

asio::awaitable<Result<void>> StreamForwarder::runChecks()
{
    asio::steady_timer timer(m_executor);
    while (true) {
        const bool holdsAny = !m_heldPackets.empty() || m_router.holdsRequests();
        timer.expires_after(holdsAny ? heldCheckInterval : checkInterval);
        co_await timer.async_wait(asio::use_awaitable);
        sendHeld();
        m_router.tick();
        sendResolved();
        startDueProbes();
        sendResets();
    }
}

void StreamForwarder::forward(std::span<std::uint8_t> bytes)
{
    const std::optional<StreamPacket> packet = m_codec.decode(bytes);
    if (!packet) {
        m_router.recordUnreadable(bytes.size());
        return;
    }
    if (!m_router.isReady() && m_heldPackets.hold(bytes, m_clock.now())) {
        ++m_heldCount;
        return;
    }
    const StreamDecision decision = m_router.route(*packet);
    if (decision.action == StreamDecision::Action::Reset) {
        sendReset({ packet->client, packet->service, packet->acknowledgement });
    } else if (decision.action == StreamDecision::Action::Forward) {
        m_codec.writeToken(bytes, decision.token);
        m_batch.addPrefixed(m_socket.native_handle(), decision.server->address, m_codec.prefix(decision.server->number), bytes);
    } else if (decision.action == StreamDecision::Action::Hold) {
        // A packet that is not kept is sent again by its client, like a lost one.
        m_unkeptCount += m_waitingPackets.keep(*packet, bytes) ? 0 : 1;
    }
}

void StreamForwarder::sendReset(const StreamReset &reset)
{
    std::array<std::uint8_t, PacketCodec::maxResetSize> buffer {};
    const std::size_t size = m_codec.encode(reset, buffer);
    const asio::ip::udp::endpoint client(asio::ip::address_v4(reset.client.address()), m_address.port());
    std::error_code error;
    m_socket.send_to(asio::buffer(buffer.data(), size), client, 0, error);
    // If the socket does not accept the reset, it is lost like any datagram; the client's next packet causes another one.
    m_resetsSent += error ? 0 : 1;
}

void StreamForwarder::sendResets()
{
    for (const StreamReset &due : m_router.takeResets()) {
        sendReset(due);
    }
}

void StreamForwarder::sendHeld()
{
    if (m_heldPackets.empty() || !m_router.isReady()) {
        return;
    }
    std::vector<std::vector<std::uint8_t>> packets = m_heldPackets.take(m_clock.now());
    for (std::vector<std::uint8_t> &packet : packets) {
        forward(packet);
    }
    m_batch.flush(m_socket.native_handle());
}

void StreamForwarder::sendResolved()
{
    // Sending a packet may end the wait of others.
    for (auto resolved = m_router.takeResolvedRequests(); !resolved.empty(); resolved = m_router.takeResolvedRequests()) {
        std::vector<std::vector<std::vector<std::uint8_t>>> taken; // the batch refers to the packets until it is flushed
        for (const HeldResolution &resolution : resolved) {
            taken.push_back(m_waitingPackets.take(resolution.client, resolution.address));
            if (resolution.kind == HeldResolution::Kind::Refuse) {
                sendReset({ resolution.client, resolution.address, 0 }); // the flow is not open, so any number will do
            } else if (resolution.kind == HeldResolution::Kind::Release) {
                for (std::vector<std::uint8_t> &packet : taken.back()) {
                    forward(packet);
                }
            }
        }
        m_batch.flush(m_socket.native_handle());
    }
}

void StreamForwarder::startDueProbes()
{
    for (ProbeTarget &target : m_router.takeDueProbes(maxRunningProbes - m_runningProbes)) {
        asio::co_spawn(m_executor, probe(std::move(target)), asio::detached);
    }
}

asio::awaitable<void> StreamForwarder::probe(ProbeTarget target)
{
    ++m_runningProbes;
    ++m_probeCount;
    const TimePoint startedAt = m_clock.now();
    const ConnectResult result = co_await m_probe.connect(target.address, startedAt + connectTimeout);
    --m_runningProbes;
    m_router.recordProbeResult(target.token, result, startedAt);
    sendResets();
}

Endpoint StreamForwarder::address() const
{
    return m_address;
}

void StreamForwarder::writeMetrics(MetricWriter &writer) const
{
    writer.counter("samphirepitch_datagrams_received_total", "Datagrams received from the fabric.", {}, m_receivedCount);
    writer.counter(
        "samphirepitch_packets_held_total", "Packets held because they arrived before routes and servers were known.", {}, m_heldCount);
    writer.counter("samphirepitch_waiting_packets_unkept_total", "Packets of waiting requests that were dropped for lack of space.", {},
        m_unkeptCount);
    writer.counter("samphirepitch_datagrams_unsent_total", "Datagrams to servers that the socket did not accept.", {}, m_batch.dropped());
    writer.counter("samphirepitch_resets_sent_total", "Resets sent to clients.", {}, m_resetsSent);
    writer.counter("samphirepitch_server_connections_total", "Connections attempted to probe servers.", {}, m_probeCount);
}

} // namespace Samphirepitch
