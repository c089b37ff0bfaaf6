#include "data/datapath.h"
#include "data/packetenginefixture.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <catch2/catch.hpp>

using namespace Samphirepitch;
using asio::ip::udp;

namespace
{

udp::endpoint toAsio(Endpoint endpoint)
{
    return { asio::ip::address_v4(endpoint.address()), endpoint.port() };
}

Endpoint boundAddress(const udp::socket &socket)
{
    return { socket.local_endpoint().address().to_v4().to_uint(), socket.local_endpoint().port() };
}

udp::socket openSocket(asio::io_context &context)
{
    udp::socket socket(context, toAsio(Endpoint(0x7f000001, 0)));
    socket.non_blocking(true);
    return socket;
}

/** Runs the data path until the socket receives a datagram, and returns that datagram. */
std::vector<std::uint8_t> receive(asio::io_context &context, udp::socket &socket, udp::endpoint &sender)
{
    std::vector<std::uint8_t> bytes(2048);
    asio::error_code error = asio::error::would_block;
    std::size_t size = 0;
    while (error == asio::error::would_block) {
        context.run_one();
        size = socket.receive_from(asio::buffer(bytes), sender, 0, error);
    }
    REQUIRE_FALSE(error);
    bytes.resize(size);
    return bytes;
}

} // namespace

TEST_CASE("a request and its response pass through the sockets of a data path", "[data][datapath]")
{
    asio::io_context context;
    udp::socket fabric = openSocket(context);
    udp::socket server = openSocket(context);
    const SteadyClock clock;
    SeededRandom random(20261204);
    PacketEngineFixture events;
    Endpoint dataAddress;
    {
        const udp::socket probe = openSocket(context); // finds a free port for the data path, and is closed again
        dataAddress = boundAddress(probe);
    }
    auto data = DataPath::create(context.get_executor(), clock, random, events,
        { .instance = "i1",
            .failureDomain = "a",
            .dataAddress = dataAddress,
            .backAddress = Endpoint(0x7f000001, 0),
            .fabricReturn = boundAddress(fabric),
            .maxFlows = 100,
            .isNewId = true });
    REQUIRE(data.has_value());
    CHECK((*data)->heldGeneration() == 0);
    auto servers = SamplePools::servers(1);
    servers[0].address = boundAddress(server);
    (*data)->configurationChanged(SamplePools::generation(5, servers));
    CHECK((*data)->heldGeneration() == 5);
    bool hasEnded = false;
    asio::co_spawn(context, (*data)->run(), [&hasEnded](std::exception_ptr) { hasEnded = true; });

    const ProxyHeader toService({ .source = PacketEngineFixture::caller(), .destination = SamplePools::serviceAddress() });
    fabric.send_to(
        asio::buffer(PacketEngineFixture::bytesOf(toService, PacketEngineFixture::requestBytes(9, "checkin"))), toAsio(dataAddress));
    udp::endpoint sender;
    std::span<const std::uint8_t> payload;
    const auto request = receive(context, server, sender);
    const auto header = ProxyHeader::decode(request, payload);
    REQUIRE(header.has_value());
    CHECK(header->source() == PacketEngineFixture::caller());
    CHECK(header->deadline().has_value());
    CHECK(sender == toAsio((*data)->backAddress()));
    CHECK((*data)->pendingRequests() == 1);

    const ProxyHeader toCaller({ .source = SamplePools::serviceAddress(), .destination = PacketEngineFixture::caller() });
    server.send_to(asio::buffer(PacketEngineFixture::bytesOf(toCaller, PacketEngineFixture::responseBytes(9, "done"))), sender);
    const auto response = receive(context, fabric, sender);
    const auto responseHeader = ProxyHeader::decode(response, payload);
    REQUIRE(responseHeader.has_value());
    CHECK(responseHeader->destination() == PacketEngineFixture::caller());
    CHECK(std::vector<std::uint8_t>(payload.begin(), payload.end()) == PacketEngineFixture::responseBytes(9, "done"));
    CHECK((*data)->pendingRequests() == 0);
    (*data)->beginDrain();
    CHECK((*data)->pendingRequests() == 1); // the caller may still repeat the request here

    (*data)->stop();
    while (!hasEnded) {
        context.run_one();
    }
}

TEST_CASE("a response that has arrived before a data path is stopped reaches its caller", "[data][datapath][stop]")
{
    // Guards against callers that get no response to a request which a server has answered, because the instance ends at that moment.
    asio::io_context context;
    udp::socket fabric = openSocket(context);
    udp::socket server = openSocket(context);
    const SteadyClock clock;
    SeededRandom random(20261204);
    PacketEngineFixture events;
    Endpoint dataAddress;
    {
        const udp::socket probe = openSocket(context); // finds a free port for the data path, and is closed again
        dataAddress = boundAddress(probe);
    }
    auto data = DataPath::create(context.get_executor(), clock, random, events,
        { .instance = "i1",
            .failureDomain = "a",
            .dataAddress = dataAddress,
            .backAddress = Endpoint(0x7f000001, 0),
            .fabricReturn = boundAddress(fabric),
            .maxFlows = 100,
            .isNewId = true });
    REQUIRE(data.has_value());
    auto servers = SamplePools::servers(1);
    servers[0].address = boundAddress(server);
    (*data)->configurationChanged(SamplePools::generation(5, servers));
    bool hasEnded = false;
    asio::co_spawn(context, (*data)->run(), [&hasEnded](std::exception_ptr) { hasEnded = true; });
    const ProxyHeader toService({ .source = PacketEngineFixture::caller(), .destination = SamplePools::serviceAddress() });
    fabric.send_to(
        asio::buffer(PacketEngineFixture::bytesOf(toService, PacketEngineFixture::requestBytes(9, "checkin"))), toAsio(dataAddress));
    udp::endpoint sender;
    receive(context, server, sender);

    const ProxyHeader toCaller({ .source = SamplePools::serviceAddress(), .destination = PacketEngineFixture::caller() });
    server.send_to(asio::buffer(PacketEngineFixture::bytesOf(toCaller, PacketEngineFixture::responseBytes(9, "done"))), sender);
    (*data)->stop();
    while (!hasEnded) {
        context.run_one();
    }
    std::vector<std::uint8_t> response(2048);
    asio::error_code error;
    response.resize(fabric.receive_from(asio::buffer(response), sender, 0, error));
    REQUIRE_FALSE(error);
    std::span<const std::uint8_t> payload;
    REQUIRE(ProxyHeader::decode(response, payload).has_value());
    CHECK(std::vector<std::uint8_t>(payload.begin(), payload.end()) == PacketEngineFixture::responseBytes(9, "done"));
    CHECK((*data)->pendingRequests() == 0);
}

TEST_CASE("a data path names the address that it can't bind to", "[data][datapath]")
{
    asio::io_context context;
    const udp::socket taken = openSocket(context);
    const SteadyClock clock;
    SeededRandom random(1);
    PacketEngineFixture events;
    const auto data = DataPath::create(context.get_executor(), clock, random, events,
        { .instance = "i1", .dataAddress = boundAddress(taken), .backAddress = Endpoint(0x7f000001, 0), .maxFlows = 10 });
    REQUIRE_FALSE(data.has_value());
    CHECK(data.error().kind() == ErrorKind::InputOutput);
    CHECK(data.error().subject() == boundAddress(taken).toString());
}
