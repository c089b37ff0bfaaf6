#include "data/enginebench.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <new>

namespace
{
thread_local std::uint64_t allocations = 0;
} // namespace

// Replaces the allocation functions of the whole test program, so that allocations inside the library are counted.
void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size == 0 ? 1 : size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

using namespace Samphirepitch;

namespace
{

/** Counts datagrams and keeps the last receiver. */
class CountingOutput : public PacketOutput, public EventSink
{
public:
    void toServer(Endpoint server, const ProxyHeader &, std::span<const std::uint8_t>) override
    {
        ++toServers;
        lastServer = server;
    }

    void toFabric(const ProxyHeader &, std::span<const std::uint8_t>) override
    {
        ++toCallers;
    }

    void toInstance(Endpoint, const ProxyHeader &, std::span<const std::uint8_t>) override
    {
    }

    void record(EventSeverity, std::string_view, std::vector<EventField>) override
    {
    }

    std::uint64_t toServers = 0;
    std::uint64_t toCallers = 0;
    Endpoint lastServer;
};

std::vector<std::vector<std::uint8_t>> packetsOf(std::uint16_t callers, const std::vector<std::uint8_t> &payload)
{
    std::vector<std::vector<std::uint8_t>> packets;
    for (std::uint16_t port = 1; port <= callers; ++port) {
        const ProxyHeader header({ .source = EngineBench::caller(port), .destination = SamplePools::serviceAddress() });
        packets.push_back(EngineBench::bytesOf(header, payload));
    }
    return packets;
}

} // namespace

TEST_CASE("a packet of a known flow is decided without allocation", "[data][allocation]")
{
    constexpr std::uint16_t callers = 1000;
    ManualClock clock;
    SeededRandom random(20261204);
    CountingOutput output;
    PacketEngine engine({ .instance = "i1", .isNewId = true }, 300000, clock, random, output, output, nullptr);
    const bool isOpaque = GENERATE(true, false);
    CAPTURE(isOpaque);
    engine.configurationChanged(
        SamplePools::generation(1, SamplePools::servers(12), Affinity::Flow, isOpaque ? Protocol::Opaque : Protocol::Rpc));
    const auto packets = packetsOf(callers, isOpaque ? std::vector<std::uint8_t>(64) : EngineBench::requestBytes(1, "tile"));
    const auto answers = [&] {
        std::vector<std::vector<std::uint8_t>> result;
        for (std::uint16_t port = 1; port <= callers; ++port) {
            const ProxyHeader header({ .source = SamplePools::serviceAddress(), .destination = EngineBench::caller(port) });
            result.push_back(EngineBench::bytesOf(header, EngineBench::answerBytes(1, "done")));
        }
        return result;
    }();
    const auto exchange = [&] {
        for (std::size_t index = 0; index < packets.size(); ++index) {
            engine.frontDatagram(packets[index], Endpoint(0x7f000002, 1), clock.now());
            engine.backDatagram(answers[index], output.lastServer, clock.now());
        }
    };
    const std::uint64_t beforeNewFlows = allocations;
    exchange();
    CHECK(output.toCallers == callers);
    // The first answers allocate the health and load of the servers, which shows that the counter works.
    CHECK(allocations > beforeNewFlows);
    const std::uint64_t before = allocations;
    exchange();
    const std::uint64_t after = allocations;
    CHECK(after - before == 0);
    CHECK(output.toServers == 2 * callers);
    CHECK(engine.router().counters().newFlows == callers);
}
