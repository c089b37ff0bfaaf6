#include "loadreport/loadview.h"
#include "stream/routerfixture.h"
#include "stream/streamforwarder.h"

#include <asio/bind_cancellation_slot.hpp>
#include <asio/cancellation_signal.hpp>
#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

namespace
{

/** Takes each datagram for the opening packet of a flow, whose client has the port in the first two bytes. */
class OpeningCodec : public PacketCodec
{
public:
    std::optional<StreamPacket> decode(std::span<const std::uint8_t> bytes) const override
    {
        const auto port = static_cast<std::uint16_t>(bytes[0] << 8 | bytes[1]);
        return StreamPacket { .client = Endpoint(0x64400007, port), .service = RouterFixture::service, .opens = true };
    }

    void writeToken(std::span<std::uint8_t>, std::uint32_t) const override
    {
    }

    ServerPrefix prefix(std::uint64_t) const override
    {
        return {};
    }

    std::size_t encode(const StreamReset &, std::array<std::uint8_t, maxResetSize> &) const override
    {
        return 1;
    }
};

/** Finds every server alive. */
class AcceptingProbe : public ConnectProbe
{
public:
    asio::awaitable<ConnectResult> connect(Endpoint, TimePoint) override
    {
        co_return ConnectResult::Accepted;
    }
};

/** Has no reports. */
class EmptyLoadView : public LoadView
{
public:
    std::optional<ServiceLoadEstimate> serviceLoad(const std::string &, TimePoint) const override
    {
        return std::nullopt;
    }
};

/** A forwarder whose router has one server, a socket of the test. */
class ForwarderFixture : public RouterFixture
{
public:
    ForwarderFixture()
        : m_serverSocket(context, { asio::ip::address_v4::loopback(), 0 })
        , m_clientSocket(context, { asio::ip::address_v4::loopback(), 0 })
        , m_forwarder(std::move(
              StreamForwarder::create(context.get_executor(), { clock, router, m_codec, m_probe }, Endpoint(0x7f000001, 0)).value()))
    {
        m_serverSocket.non_blocking(true);
        m_serverSocket.set_option(asio::socket_base::receive_buffer_size(1 << 20)); // holds all packets of a test
        StreamServer listed = server(1);
        listed.address = Endpoint(0x7f000001, m_serverSocket.local_endpoint().port());
        listed.slots = 40; // so that only the window of a starting instance limits requests
        makeReady({ listed });
        asio::co_spawn(context, m_forwarder->forwardPackets(),
            asio::bind_cancellation_slot(cancel.slot(), [this](const std::exception_ptr &, const Result<void> &) { ended = true; }));
    }

    /** Lets @p count datagrams arrive, each from another client. */
    void sendPackets(std::uint16_t count)
    {
        for (std::uint16_t port = 1; port <= count; ++port) {
            const std::array<std::uint8_t, 2> bytes { static_cast<std::uint8_t>(port >> 8), static_cast<std::uint8_t>(port & 0xff) };
            m_clientSocket.send_to(asio::buffer(bytes), { asio::ip::address_v4::loopback(), m_forwarder->address().port() });
        }
    }

    /** Returns the number of datagrams that the server received since the last call. */
    std::size_t receivedByServer()
    {
        std::array<char, 64> buffer {};
        std::error_code error;
        std::size_t count = 0;
        while (m_serverSocket.receive(asio::buffer(buffer), 0, error) > 0 && !error) {
            ++count;
        }
        return count;
    }

    /** Returns the ports of the clients of the datagrams that the server received since the last call, in their order. */
    std::vector<std::uint16_t> receivedPorts()
    {
        std::array<std::uint8_t, 64> buffer {};
        std::error_code error;
        std::vector<std::uint16_t> ports;
        while (true) {
            const std::size_t size = m_serverSocket.receive(asio::buffer(buffer), 0, error);
            if (error || size < 2) {
                return ports;
            }
            ports.push_back(static_cast<std::uint16_t>(buffer[size - 2] << 8 | buffer[size - 1]));
        }
    }

    StreamForwarder &forwarder()
    {
        return *m_forwarder;
    }

    asio::io_context context;
    asio::cancellation_signal cancel;
    bool ended = false;
    EmptyLoadView loadView;

private:
    OpeningCodec m_codec;
    AcceptingProbe m_probe;
    asio::ip::udp::socket m_serverSocket;
    asio::ip::udp::socket m_clientSocket;
    std::unique_ptr<StreamForwarder> m_forwarder;
};

} // namespace

TEST_CASE_METHOD(ForwarderFixture, "packets that have arrived before the forwarder is stopped are forwarded", "[stream][forwarder][stop]")
{
    // Guards against requests that are cut off at the end of a planned stop although the instance had received them.
    context.poll(); // the forwarder waits for packets
    sendPackets(100);
    cancel.emit(asio::cancellation_type::terminal);
    context.poll();
    CHECK(ended);
    CHECK(receivedByServer() == 100);
}

TEST_CASE_METHOD(
    ForwarderFixture, "packets that arrive faster than they are forwarded don't hold up other tasks", "[stream][forwarder][stop]")
{
    // Guards against an instance under load that sees neither the signal to stop nor the messages of its peers.
    context.poll();
    sendPackets(270);
    std::size_t forwardedBefore = 0;
    context.run_one(); // the packets are found
    asio::post(context, [&] { forwardedBefore = receivedByServer(); });
    context.poll();
    CHECK(forwardedBefore > 0);
    CHECK(forwardedBefore < 270);
    CHECK(forwardedBefore + receivedByServer() == 270);
}

TEST_CASE_METHOD(
    ForwarderFixture, "packets of requests that waited for room are sent unchanged and in their order", "[stream][forwarder][shortage]")
{
    // Guards against released packets that are sent from memory that was freed or used again.
    StreamConfiguration configuration = configurationWith(5, "pond");
    for (auto &[address, route] : configuration.routes) {
        route.priority = address == RouterFixture::service ? 2 : 1;
        route.timeLimit = std::chrono::seconds(20);
        route.targetLatency = std::chrono::seconds(20);
    }
    router.useLoadView(loadView);
    router.applyConfiguration(configuration);
    advanceClock(std::chrono::milliseconds(25));
    router.tick(); // counts the slots; the window of a starting instance lets eight requests pass
    context.poll();
    sendPackets(12);
    context.poll();
    CHECK(receivedPorts() == std::vector<std::uint16_t> { 1, 2, 3, 4, 5, 6, 7, 8 });
    advanceClock(FlowAdmission::idleTime); // the first eight flows did not open, so that their room is free
    router.tick();
    forwarder().sendResolved();
    CHECK(receivedPorts() == std::vector<std::uint16_t> { 9, 10, 11, 12 });
}
