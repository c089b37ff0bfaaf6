#include "data/datapath.h"
#include "data/enginebench.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <catch2/catch.hpp>

using namespace Samphirepitch;
using asio::ip::udp;

namespace
{

udp::endpoint native(Endpoint endpoint)
{
    return { asio::ip::address_v4(endpoint.address()), endpoint.port() };
}

Endpoint ofSocket(const udp::socket &socket)
{
    return { socket.local_endpoint().address().to_v4().to_uint(), socket.local_endpoint().port() };
}

udp::socket openSocket(asio::io_context &context)
{
    udp::socket socket(context, native(Endpoint(0x7f000001, 0)));
    socket.non_blocking(true);
    return socket;
}

/** Runs the data path until the socket has a datagram, and returns it. */
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

TEST_CASE("a request and its answer pass through the sockets of a data path", "[data][datapath]")
{
    asio::io_context context;
    udp::socket fabric = openSocket(context);
    udp::socket server = openSocket(context);
    const SteadyClock clock;
    SeededRandom random(20261204);
    EngineBench events;
    Endpoint dataAddress;
    {
        const udp::socket probe = openSocket(context);
        dataAddress = ofSocket(probe);
    }
    auto data = DataPath::create(context.get_executor(), clock, random, events,
        { .instance = "i1",
            .failureDomain = "a",
            .dataAddress = dataAddress,
            .backAddress = Endpoint(0x7f000001, 0),
            .fabricReturn = ofSocket(fabric),
            .maxFlows = 100,
            .isNewId = true });
    REQUIRE(data.has_value());
    CHECK((*data)->activeGeneration() == 0);
    auto servers = SamplePools::servers(1);
    servers[0].address = ofSocket(server);
    (*data)->configurationChanged(SamplePools::generation(5, servers));
    CHECK((*data)->activeGeneration() == 5);
    bool ended = false;
    asio::co_spawn(context, (*data)->run(), [&ended](std::exception_ptr) { ended = true; });

    const ProxyHeader toService({ .source = EngineBench::caller(), .destination = SamplePools::serviceAddress() });
    fabric.send_to(asio::buffer(EngineBench::bytesOf(toService, EngineBench::requestBytes(9, "checkin"))), native(dataAddress));
    udp::endpoint sender;
    std::span<const std::uint8_t> payload;
    const auto request = receive(context, server, sender);
    const auto header = ProxyHeader::decode(request, payload);
    REQUIRE(header.has_value());
    CHECK(header->source() == EngineBench::caller());
    CHECK(header->deadline().has_value());
    CHECK(sender == native((*data)->backAddress()));
    CHECK((*data)->pendingRequests() == 1);

    const ProxyHeader toCaller({ .source = SamplePools::serviceAddress(), .destination = EngineBench::caller() });
    server.send_to(asio::buffer(EngineBench::bytesOf(toCaller, EngineBench::answerBytes(9, "done"))), sender);
    const auto answer = receive(context, fabric, sender);
    const auto answerHeader = ProxyHeader::decode(answer, payload);
    REQUIRE(answerHeader.has_value());
    CHECK(answerHeader->destination() == EngineBench::caller());
    CHECK(std::vector<std::uint8_t>(payload.begin(), payload.end()) == EngineBench::answerBytes(9, "done"));
    CHECK((*data)->pendingRequests() == 0);
    (*data)->beginDrain();
    CHECK((*data)->pendingRequests() == 1); // the caller may still repeat the request here

    (*data)->stop();
    while (!ended) {
        context.run_one();
    }
}

TEST_CASE("a data path names the address that it can't use", "[data][datapath]")
{
    asio::io_context context;
    const udp::socket taken = openSocket(context);
    const SteadyClock clock;
    SeededRandom random(1);
    EngineBench events;
    const auto data = DataPath::create(context.get_executor(), clock, random, events,
        { .instance = "i1", .dataAddress = ofSocket(taken), .backAddress = Endpoint(0x7f000001, 0), .maxFlows = 10 });
    REQUIRE_FALSE(data.has_value());
    CHECK(data.error().kind() == ErrorKind::InputOutput);
    CHECK(data.error().subject() == ofSocket(taken).toString());
}
