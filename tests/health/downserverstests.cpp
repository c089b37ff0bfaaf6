#include "daemon/datapathbridge.h"
#include "data/datapath.h"
#include "data/packetenginefixture.h"
#include "health/downservers.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include <array>

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

} // namespace

TEST_CASE("a server that is reported up again is no longer held as down", "[health][downservers]")
{
    DownServers down;
    down.update({ "ponds", "s1", false, { 1, 0 } });
    down.update({ "ponds", "s2", false, { 2, 0 } });
    down.update({ "ponds", "s1", true, { 2, 1 } });
    CHECK_FALSE(down.contains("ponds", "s1"));
    CHECK(down.contains("ponds", "s2"));
    CHECK(down.lastChanges().states == std::vector<ServerHealthChange> { { "ponds", "s2", false, { 2, 0 } } });
}

TEST_CASE("a state that is reported before the configuration arrives applies once the server is known", "[health][downservers]")
{
    // Guards against a starting instance that sends new flows to a server that all other instances consider down.
    asio::io_context context;
    std::array<udp::socket, 2> sockets { udp::socket(context, toAsio(Endpoint(0x7f000001, 0))),
        udp::socket(context, toAsio(Endpoint(0x7f000001, 0))) };
    udp::socket fabric(context, toAsio(Endpoint(0x7f000001, 0)));
    Endpoint dataAddress;
    {
        const udp::socket reserved(context, toAsio(Endpoint(0x7f000001, 0))); // finds a free port, and is closed again
        dataAddress = boundAddress(reserved);
    }
    const SteadyClock clock;
    SeededRandom random(20261204);
    PacketEngineFixture events;
    const auto data = DataPath::create(context.get_executor(), clock, random, events,
        { .instance = "i1",
            .failureDomain = "a",
            .dataAddress = dataAddress,
            .backAddress = Endpoint(0x7f000001, 0),
            .fabricReturn = boundAddress(fabric),
            .maxFlows = 100,
            .isNewId = true })
                          .value();
    auto servers = SamplePools::servers(sockets.size());
    for (std::size_t index = 0; index < sockets.size(); ++index) {
        sockets[index].non_blocking(true);
        servers[index].address = boundAddress(sockets[index]);
    }
    DataPathBridge bridge(*data);
    bridge.serverStatesChanged({ { { "pool", "s00", false, { 1, 0 } } } });
    const ConfigGeneration generation = SamplePools::generation(1, servers, Affinity::Flow, Protocol::Opaque);
    data->configurationChanged(generation);
    bridge.configurationChanged(generation);
    asio::co_spawn(context, data->run(), asio::detached);

    constexpr std::size_t flows = 32;
    for (std::uint16_t port = 0; port < flows; ++port) {
        const ProxyHeader header({ .source = PacketEngineFixture::caller(static_cast<std::uint16_t>(4000 + port)),
            .destination = SamplePools::serviceAddress() });
        fabric.send_to(asio::buffer(PacketEngineFixture::bytesOf(header, { 1, 2, 3 })), toAsio(dataAddress));
    }
    std::array<std::size_t, 2> received {};
    while (received[0] + received[1] < flows) {
        context.run_one();
        for (std::size_t index = 0; index < sockets.size(); ++index) {
            std::array<char, 2048> bytes {};
            asio::error_code error;
            sockets[index].receive(asio::buffer(bytes), 0, error);
            received[index] += error ? 0 : 1;
        }
    }
    CHECK(received[0] == 0);
    CHECK(received[1] == flows);
}
