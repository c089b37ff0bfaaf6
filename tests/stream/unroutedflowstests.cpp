#include "stream/unroutedflows.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;

using std::chrono::seconds;

namespace
{

constexpr Endpoint client(0x64400007, 40001);
constexpr Endpoint service(0xc6120001, 443);

StreamPacket data(std::uint32_t sequence, std::uint32_t acknowledgement, Endpoint from = client)
{
    return { .client = from, .service = service, .token = 7, .length = 100, .sequence = sequence, .acknowledgement = acknowledgement };
}

} // namespace

TEST_CASE("a flow without a route ends once, with the newest number that its client has acknowledged", "[stream][removedroute]")
{
    const TimePoint start = ManualClock().now();
    UnroutedFlows flows(10);
    flows.record(data(101, 55), start);
    flows.record(data(201, 955), start + seconds(1));
    CHECK(flows.endOpenAt(start - seconds(1), start + seconds(1)).empty());
    const std::vector<StreamFlow> ended = flows.endOpenAt(start, start + seconds(1));
    REQUIRE(ended.size() == 1);
    CHECK(ended.front().acknowledged == 955);
    CHECK(ended.front().token == 7);
    CHECK(flows.endOpenAt(start, start + seconds(1)).empty());
    REQUIRE(flows.record(data(201, 955), start + seconds(2)) != nullptr);
    CHECK(flows.record(data(201, 955), start + seconds(2))->ended);
}

TEST_CASE("flows without a route are forgotten when they are idle, opened again or routed again", "[stream][removedroute]")
{
    const TimePoint start = ManualClock().now();
    UnroutedFlows flows(10);
    flows.record(data(101, 55), start);
    SECTION("idle")
    {
        flows.expire(start + seconds(14), seconds(15));
        CHECK(flows.size() == 1);
        flows.expire(start + seconds(15), seconds(15));
    }
    SECTION("opened again")
    {
        flows.remove(client, service);
    }
    SECTION("routed again")
    {
        flows.removeRouted({});
        CHECK(flows.size() == 1);
        StreamConfiguration configuration;
        configuration.routes.emplace(service, StreamRoute { "r-1", service, {} });
        flows.removeRouted(configuration);
    }
    CHECK(flows.size() == 0);
}

TEST_CASE("the number of remembered flows without a route is bounded", "[stream][removedroute]")
{
    // Guards against memory that anybody can fill with packets to an address without a route.
    const TimePoint start = ManualClock().now();
    UnroutedFlows flows(2);
    for (std::uint16_t port = 1; port <= 2; ++port) {
        CHECK(flows.record(data(101, 55, Endpoint(0x64400007, port)), start) != nullptr);
    }
    CHECK(flows.record(data(101, 55, Endpoint(0x64400007, 3)), start) == nullptr);
    flows.add({ .client = Endpoint(0x64400007, 4), .service = service, .open = true });
    CHECK(flows.size() == 2);
}
