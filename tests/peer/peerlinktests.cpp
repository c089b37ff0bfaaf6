#include "fakes/controlplanegroup.h"
#include "peer/framecodec.h"
#include "peer/messagecodec.h"
#include "peer/peerclient.h"
#include "peer/peerserver.h"

#include <asio/co_spawn.hpp>
#include <asio/use_future.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <list>

using namespace Samphirepitch;
using namespace std::chrono_literals;

namespace
{

/** A plain TCP connection to an instance, for bytes that no PeerLink would send. */
class RawConnection
{
public:
    RawConnection(asio::io_context &io, Endpoint address)
        : m_socket(io)
    {
        m_socket.connect({ asio::ip::address_v4(address.address()), address.port() });
    }

    void write(const std::string &bytes)
    {
        asio::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    /** Returns whether the other side has closed the connection. Discards the bytes that it sent before. */
    bool isClosed()
    {
        m_socket.non_blocking(true);
        std::array<char, 65536> buffer {};
        asio::error_code error;
        while (!error) {
            m_socket.read_some(asio::buffer(buffer), error);
        }
        return error != asio::error::would_block;
    }

private:
    asio::ip::tcp::socket m_socket;
};

std::string frameOf(Message message)
{
    return FrameCodec::encode(MessageCodec::encode({ { 1, 0 }, std::move(message) })).value();
}

Hello helloOf(const std::string &id, const std::string &deployment = "dewnet")
{
    Hello hello;
    hello.instanceId = id;
    hello.incarnation = 1;
    hello.failureDomain = "lokoja";
    hello.deployment = deployment;
    return hello;
}

} // namespace

TEST_CASE("a link with invalid input is closed, counted and reported", "[peer][peerlink]")
{
    ControlPlaneGroup group;
    ControlInstance &instance = group.add("l1", "lokoja");
    RawConnection connection(group.io, instance.plane().peerAddress());
    const auto isClosed = [&] { return connection.isClosed(); };
    const LinkCounters &counters = instance.plane().linkCounters();
    SECTION("a frame length above the limit of the first message")
    {
        connection.write(std::string("\x00\x10\x00\x00", 4));
        CHECK(group.runUntil(isClosed));
        CHECK(counters.badInput == 1);
    }
    SECTION("another message before hello")
    {
        connection.write(frameOf(EventsQuery {}));
        CHECK(group.runUntil(isClosed));
        CHECK(counters.badInput == 1);
    }
    SECTION("an unknown type after hello")
    {
        connection.write(frameOf(helloOf("l2")) + FrameCodec::encode("\x93\x7f\x01\x01").value());
        CHECK(group.runUntil(isClosed));
        CHECK(counters.badInput == 1);
    }
    SECTION("a message from the operators' client that only instances may send")
    {
        connection.write(frameOf(helloOf("")) + frameOf(MemberEvents {}));
        CHECK(group.runUntil(isClosed));
        CHECK(counters.badInput == 1);
    }
    SECTION("another deployment")
    {
        connection.write(frameOf(helloOf("l2", "tugan-kun")));
        CHECK(group.runUntil(isClosed));
        CHECK(counters.wrongPeer == 1);
        CHECK(instance.plane().view()->member("l2") == nullptr);
    }
    SECTION("another protocol version")
    {
        Hello hello = helloOf("l2");
        hello.protocolVersion = 2;
        connection.write(frameOf(hello));
        CHECK(group.runUntil(isClosed));
        CHECK(counters.wrongPeer == 1);
    }
    CHECK(instance.eventCount("peer_link_refused") == 1);
}

TEST_CASE("a link to a peer that sends nothing is closed at its deadline, and the peer becomes suspect, then dead", "[peer][peerlink]")
{
    ControlPlaneGroup group;
    ControlInstance &instance = group.add("l1", "lokoja");
    RawConnection connection(group.io, instance.plane().peerAddress());
    connection.write(frameOf(helloOf("l2")));
    REQUIRE(group.runUntil([&] { return instance.plane().view()->member("l2") != nullptr; }));
    CHECK(group.runUntil([&] { return connection.isClosed(); }));
    CHECK(instance.plane().linkCounters().timeouts == 1);
    CHECK(group.runUntil([&] { return instance.plane().view()->member("l2")->state() == MemberState::Dead; }));
}

TEST_CASE("connections above the limit are refused", "[peer][peerserver]")
{
    ControlPlaneGroup group;
    ControlInstance &instance = group.add("l1", "lokoja");
    std::list<RawConnection> connections;
    for (std::size_t count = 0; count <= PeerServer::maxConnections; ++count) {
        connections.emplace_back(group.io, instance.plane().peerAddress());
        connections.back().write(frameOf(helloOf("")));
    }
    CHECK(group.runUntil([&] { return connections.back().isClosed(); }));
    CHECK(instance.plane().linkCounters().refused == 1);
}

TEST_CASE("a peer that does not read is disconnected when its queue is full", "[peer][peerlink]")
{
    ControlPlaneGroup group;
    ControlInstance &instance = group.add("l1", "lokoja");
    RawConnection connection(group.io, instance.plane().peerAddress());
    connection.write(frameOf(helloOf("l2")));
    REQUIRE(group.runUntil([&] { return instance.plane().linkCount() == 1; }));
    const FlowExceptionBatch large { "pondwatch", 1, std::vector<std::uint64_t>(MessageLimits::flowKeys, ~0ULL) };
    // Each message has 73 KB. The socket buffers of the system take some messages before the queue fills.
    for (int count = 0; count < 1000 && instance.plane().linkCounters().slowPeers == 0; ++count) {
        instance.plane().sendFlowExceptions("l2", large);
    }
    CHECK(instance.plane().linkCounters().slowPeers == 1);
}

TEST_CASE("the operators' client queries status and events and requests a drain", "[peer][peerclient]")
{
    ControlPlaneGroup group;
    ControlInstance &instance = group.add("l1", "lokoja");
    group.publish(1);
    REQUIRE(group.runUntil([&] { return group.allHaveInForce(1); }));
    const Endpoint address = instance.plane().peerAddress();
    const TimePoint deadline = group.clock.now() + 20s;
    const auto result = [&](auto call) {
        auto future = asio::co_spawn(group.io, std::move(call), asio::use_future);
        REQUIRE(group.runUntil([&] { return future.wait_for(0s) == std::future_status::ready; }));
        return future.get();
    };
    PeerClient client("dewnet", group.clock);
    SECTION("status")
    {
        const auto reply = result(client.status(address, deadline));
        REQUIRE(reply.has_value());
        REQUIRE(reply->statuses.size() == 1);
        CHECK(reply->statuses[0].highestHeld == 1);
    }
    SECTION("events")
    {
        const auto reply = result(client.events(address, 0, deadline));
        REQUIRE(reply.has_value());
        CHECK(reply->events.front().instance == "l1");
        const std::uint64_t last = reply->events.back().sequence;
        CHECK(result(client.events(address, last, deadline))->events.empty());
    }
    SECTION("drain, twice")
    {
        CHECK(result(client.drain(address, deadline))->accepted);
        CHECK(instance.isDrainRequested());
        CHECK_FALSE(result(client.drain(address, deadline))->accepted);
    }
    SECTION("another deployment")
    {
        PeerClient otherClient("tugan-kun", group.clock);
        CHECK(result(otherClient.status(address, deadline)).error().kind() == ErrorKind::WrongDeployment);
    }
    SECTION("an instance that is gone")
    {
        instance.plane().stop();
        group.runUntil([&] { return instance.hasEnded(); });
        CHECK(result(client.drain(address, deadline)).error().kind() == ErrorKind::Unavailable);
    }
    SECTION("an instance that does not answer")
    {
        asio::ip::tcp::acceptor silent(group.io, { asio::ip::address_v4::loopback(), 0 });
        const Endpoint other(0x7f000001, silent.local_endpoint().port());
        const auto reply = result(client.status(other, group.clock.now() + 100ms));
        CHECK(reply.error().kind() == ErrorKind::DeadlineExceeded);
    }
}
