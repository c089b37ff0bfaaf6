#include "data/packetenginefixture.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <new>

namespace
{
thread_local std::uint64_t allocationCount = 0;
} // namespace

// Replaces the allocation functions of the test program, to count the allocations in the library.
void *operator new(std::size_t size)
{
    ++allocationCount;
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

/** Counts datagrams and stores the last receiving server. */
class CountingOutput : public PacketOutput, public EventSink
{
public:
    void sendToServer(Endpoint server, const ProxyHeader &, std::span<const std::uint8_t>) override
    {
        ++toServers;
        lastServer = server;
    }

    void sendToFabric(const ProxyHeader &, std::span<const std::uint8_t>) override
    {
        ++toCallers;
    }

    void sendToInstance(Endpoint, const ProxyHeader &, std::span<const std::uint8_t>) override
    {
    }

    void record(EventSeverity, std::string_view, std::vector<EventField>) override
    {
    }

    std::uint64_t toServers = 0;
    std::uint64_t toCallers = 0;
    Endpoint lastServer;
};

std::vector<std::vector<std::uint8_t>> datagramsFromCallers(std::uint16_t callers, const std::vector<std::uint8_t> &payload)
{
    std::vector<std::vector<std::uint8_t>> requestDatagrams;
    for (std::uint16_t port = 1; port <= callers; ++port) {
        const ProxyHeader header({ .source = PacketEngineFixture::caller(port), .destination = SamplePools::serviceAddress() });
        requestDatagrams.push_back(PacketEngineFixture::bytesOf(header, payload));
    }
    return requestDatagrams;
}

} // namespace

TEST_CASE("processing a packet of a known flow allocates no memory", "[data][allocation]")
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
    const auto requestDatagrams
        = datagramsFromCallers(callers, isOpaque ? std::vector<std::uint8_t>(64) : PacketEngineFixture::requestBytes(1, "tile"));
    const auto responseDatagrams = [&] {
        std::vector<std::vector<std::uint8_t>> result;
        for (std::uint16_t port = 1; port <= callers; ++port) {
            const ProxyHeader header({ .source = SamplePools::serviceAddress(), .destination = PacketEngineFixture::caller(port) });
            result.push_back(PacketEngineFixture::bytesOf(header, PacketEngineFixture::responseBytes(1, "done")));
        }
        return result;
    }();
    const auto exchange = [&] {
        for (std::size_t index = 0; index < requestDatagrams.size(); ++index) {
            engine.handleFrontendDatagram(requestDatagrams[index], Endpoint(0x7f000002, 1), clock.now());
            engine.handleBackendDatagram(responseDatagrams[index], output.lastServer, clock.now());
        }
    };
    const std::uint64_t countBeforeFirstExchange = allocationCount;
    exchange();
    CHECK(output.toCallers == callers);
    // The first responses allocate the health and load entries of the servers, which shows that allocations are counted.
    CHECK(allocationCount > countBeforeFirstExchange);
    const std::uint64_t countBefore = allocationCount;
    exchange();
    const std::uint64_t countAfter = allocationCount;
    CHECK(countAfter - countBefore == 0);
    CHECK(output.toServers == 2 * callers);
    CHECK(engine.router().counters().newFlows == callers);
}
