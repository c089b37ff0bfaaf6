#include "lib/fabricstandin.h"
#include "standins/udppeer.h"

using namespace Samphirepitch;
using namespace Samphirepitch::StandIn;
using namespace Samphirepitch::Testing;

namespace
{

constexpr Endpoint serviceAddress(0x7f0a0001, 0); // 127.10.0.1, an address that no other socket of the test has

/** A fabric with two instances and one caller. */
struct FabricFixture {
    FabricFixture()
    {
        options.services = { serviceAddress };
        options.instances = { first.address(), second.address() };
        options.returnAddress = anyLoopbackPort;
        options.seed = 20261204;
        fabric = FabricStandIn::start(context.get_executor(), options).value();
    }

    void setFaults(const std::string &json)
    {
        HttpRequest change;
        change.method = "PUT";
        change.target = "/standin/faults";
        change.body = json;
        CHECK(await(context, fabric->handle(change))->status == 200);
    }

    Endpoint service() const
    {
        return fabric->services().front();
    }

    asio::io_context context { 1 };
    UdpPeer first { context };
    UdpPeer second { context };
    UdpPeer caller { context };
    FabricStandIn::Options options;
    std::unique_ptr<FabricStandIn> fabric;
};

} // namespace

TEST_CASE_METHOD(
    FabricFixture, "a datagram reaches one instance, with the addresses of caller and service in its header", "[standins][fabric]")
{
    fabric->setInstances({ first.address() });
    caller.send(service(), "hello");
    const ReceivedDatagram datagram = first.receive();
    CHECK(datagram.payload() == "hello");
    CHECK(datagram.header().source() == caller.address());
    CHECK(datagram.header().destination() == service());
    CHECK(datagram.sender == fabric->returnAddress());
}

TEST_CASE_METHOD(FabricFixture, "packets of one flow are distributed over all instances", "[standins][fabric]")
{
    constexpr std::uint64_t count = 64;
    for (std::uint64_t index = 0; index < count; ++index) {
        caller.send(service(), "x");
    }
    // Both instances receive packets; the seed is fixed.
    first.receive();
    second.receive();
    while (fabric->counters().toInstances < count) {
        REQUIRE(context.run_one_for(testTimeout) > 0);
    }
    CHECK(fabric->counters().lost == 0);
}

TEST_CASE_METHOD(FabricFixture, "a datagram over the maximum size is dropped, not truncated", "[standins][fabric]")
{
    fabric->setInstances({ first.address() });
    caller.send(service(), std::string(16 * 1024 + 1, 'x'));
    caller.send(service(), std::string(16 * 1024, 'y'));
    CHECK(first.receive().payload() == std::string(16 * 1024, 'y'));
    CHECK(fabric->counters().malformed == 1);
}

TEST_CASE_METHOD(FabricFixture, "responses reach the caller with the service address as source", "[standins][fabric]")
{
    first.send(fabric->returnAddress(), ProxyHeader({ .source = service(), .destination = caller.address() }), "answer");
    const ReceivedDatagram response = caller.receive();
    CHECK(response.bytes == "answer");
    CHECK(response.sender == service());

    SECTION("datagrams without a header or for another service are dropped")
    {
        first.send(fabric->returnAddress(), "no header");
        first.send(fabric->returnAddress(), ProxyHeader({ .source = Endpoint(1, 1), .destination = caller.address() }), "wrong service");
        first.send(fabric->returnAddress(), ProxyHeader({ .source = service(), .destination = caller.address() }), "last");
        CHECK(caller.receive().bytes == "last");
        CHECK(fabric->counters().malformed == 2);
    }
}

TEST_CASE_METHOD(FabricFixture, "the list of instances can be replaced at run time", "[standins][fabric]")
{
    HttpRequest change;
    change.method = "POST";
    change.target = "/standin/instances";
    change.body = "[\"" + second.address().toString() + "\"]";
    CHECK(await(context, fabric->handle(change))->status == 204);
    for (int index = 0; index < 8; ++index) {
        caller.send(service(), "x");
        CHECK(second.receive().payload() == "x");
    }
    change.body = "[\"127.0.0.1:0\"]";
    CHECK(await(context, fabric->handle(change))->status == 400);
    change.body = "{}";
    CHECK(await(context, fabric->handle(change))->status == 400);
}

TEST_CASE_METHOD(FabricFixture, "the fabric loses, duplicates and reorders datagrams", "[standins][fabric]")
{
    fabric->setInstances({ first.address() });
    SECTION("loss")
    {
        setFaults(R"({"loss_percent": 100})");
        caller.send(service(), "x");
        while (fabric->counters().lost < 1) {
            REQUIRE(context.run_one_for(testTimeout) > 0);
        }
        CHECK(fabric->counters().toInstances == 0);
    }
    SECTION("duplication")
    {
        setFaults(R"({"duplication_percent": 100})");
        caller.send(service(), "x");
        CHECK(first.receive().payload() == "x");
        CHECK(first.receive().payload() == "x");
    }
    SECTION("reordering")
    {
        setFaults(R"({"reordering_percent": 50, "reordering_delay_ms": 20})");
        std::string sent;
        std::string received;
        for (char c = 'a'; c <= 'p'; ++c) {
            sent += c;
            caller.send(service(), std::string(1, c));
        }
        while (received.size() < sent.size()) {
            received += first.receive().payload();
        }
        CHECK(received != sent);
        std::sort(received.begin(), received.end());
        CHECK(received == sent);
    }
}

TEST_CASE_METHOD(FabricFixture, "datagrams are counted if there is no instance to send them to", "[standins][fabric]")
{
    fabric->setInstances({});
    caller.send(service(), "x");
    while (fabric->counters().withoutInstance < 1) {
        REQUIRE(context.run_one_for(testTimeout) > 0);
    }
    CHECK(fabric->counters().toInstances == 0);
}
