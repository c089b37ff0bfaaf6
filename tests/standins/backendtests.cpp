#include "lib/backendgroup.h"
#include "model/configset.h"
#include "standins/udppeer.h"

#include <msgpack.hpp>
#include <nlohmann/json.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::StandIn;
using namespace Samphirepitch::Testing;

namespace
{

using Json = nlohmann::json;

constexpr Endpoint caller(0x0a000001, 4000);
constexpr Endpoint service(0x7f0a0001, 7000);
constexpr std::uint64_t endless = 3'600'000'000; // microseconds; a request with this service time ends only by cancellation

std::string request(std::uint32_t id, std::uint64_t work = 0)
{
    const Json message = Json::array({ 0, id, "check_in", Json::array({ { { "work_us", work }, { "body", "b" + std::to_string(id) } } }) });
    const auto bytes = Json::to_msgpack(message);
    return std::string(bytes.begin(), bytes.end());
}

Json decoded(const std::string &payload)
{
    return Json::from_msgpack(payload);
}

Json notRunResponse(std::uint32_t id, const std::string &reason)
{
    return Json::array({ 1, id, { { "outcome", "not_run" }, { "reason", reason } }, nullptr });
}

/** One backend server with one slot and one place in the queue, and a UDP socket in the role of an instance. */
struct BackendFixture {
    explicit BackendFixture()
    {
        options.name = "s1";
        options.address = anyLoopbackPort;
        options.slots = 1;
        options.queueLimit = 1;
        group = BackendGroup::start(context.get_executor(), clock, { { options, anyLoopbackPort } }).value();
    }

    ProxyHeader header(std::optional<std::uint64_t> deadline = {}, std::optional<std::uint32_t> cancelled = {}) const
    {
        return ProxyHeader({ .source = caller, .destination = service, .deadline = deadline, .cancelledRequest = cancelled });
    }

    std::uint64_t wallMilliseconds() const
    {
        return static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    }

    void send(const std::string &payload)
    {
        instance.send(group->server(0).address(), header(), payload);
    }

    Json receive()
    {
        return decoded(instance.receive().payload());
    }

    /** Sends a notification and waits for its confirmation, so that all datagrams sent before have been processed. */
    void waitUntilProcessed()
    {
        const auto bytes = Json::to_msgpack(Json::array({ 2, "feed", Json::array() }));
        send(std::string(bytes.begin(), bytes.end()));
        CHECK(receive()[1] == "seen");
    }

    std::uint32_t runs(std::uint32_t id) const
    {
        return group->ledger().runs({ service, caller, id });
    }

    Json health()
    {
        return Json::parse(await(context, group->server(0).handle([] {
            HttpRequest request;
            request.target = "/health";
            return request;
        }()))
                               ->body);
    }

    asio::io_context context { 1 };
    ManualClock clock;
    BackendStandIn::Options options;
    std::unique_ptr<BackendGroup> group;
    UdpPeer instance { context };
};

} // namespace

TEST_CASE_METHOD(BackendFixture, "a request is run and answered to the instance that sent it", "[standins][backend]")
{
    send(request(7));
    const ReceivedDatagram response = instance.receive();
    CHECK(response.sender == group->server(0).address());
    CHECK(response.header().source() == service);
    CHECK(response.header().destination() == caller);
    CHECK(response.header().load() == LoadReport { 0, 0 });
    CHECK(decoded(response.payload())
        == Json::array({ 1, 7, nullptr, { { "server", "s1" }, { "service", "127.10.0.1:7000" }, { "echo", "b7" }, { "runs", 1 } } }));

    SECTION("a repeated request runs again and the ledger records it")
    {
        send(request(7));
        CHECK(receive()[3]["runs"] == 2);
        CHECK(runs(7) == 2);
        const Json ledger = Json::parse(group->ledger().toJson(true, 10));
        CHECK(ledger["repeated"] == 1);
        CHECK(ledger["entries"][0]["caller"] == "10.0.0.1:4000");
        CHECK(ledger["entries"][0]["servers"] == Json { { "s1", 2 } });
    }
}

TEST_CASE_METHOD(BackendFixture, "a request whose deadline has passed is not run", "[standins][backend]")
{
    // The quarantine of request ownership relies on this refusal.
    instance.send(group->server(0).address(), header(wallMilliseconds() - 1), request(1));
    CHECK(receive() == notRunResponse(1, "deadline"));
    CHECK(runs(1) == 0);
    instance.send(group->server(0).address(), header(wallMilliseconds()), request(2));
    CHECK(receive()[3]["runs"] == 1);
}

TEST_CASE_METHOD(BackendFixture, "a request whose deadline passes in the queue is not run", "[standins][backend]")
{
    send(request(1, endless));
    instance.send(group->server(0).address(), header(wallMilliseconds() + 10), request(2));
    waitUntilProcessed();
    clock.advance(std::chrono::milliseconds(11));
    instance.send(group->server(0).address(), header({}, 1), "");
    CHECK(receive() == notRunResponse(2, "deadline"));
    CHECK(runs(1) == 1);
    CHECK(runs(2) == 0);
}

TEST_CASE_METHOD(BackendFixture, "requests are shed while all slots and the queue are full", "[standins][backend]")
{
    send(request(1, endless));
    send(request(2, endless));
    send(request(3));
    const ReceivedDatagram response = instance.receive();
    CHECK(decoded(response.payload()) == notRunResponse(3, "shed"));
    CHECK(response.header().load() == LoadReport { 1, 1 });
    CHECK(runs(3) == 0);
    CHECK(health() == Json { { "state", "overloaded" }, { "in_flight", 1 }, { "queued", 1 } });
}

TEST_CASE_METHOD(BackendFixture, "a cancellation removes a queued request and stops a running one", "[standins][backend]")
{
    send(request(1, endless));
    send(request(2));
    SECTION("the queued request is reported as not run")
    {
        instance.send(group->server(0).address(), header({}, 2), "");
        CHECK(receive() == notRunResponse(2, "cancelled"));
        CHECK(runs(2) == 0);
    }
    SECTION("the running request frees its slot and gets no response")
    {
        instance.send(group->server(0).address(), header({}, 1), "");
        CHECK(receive()[1] == 2);
        CHECK(group->server(0).counters().cancelled == 1);
    }
    SECTION("a request of another caller with the same id is not cancelled")
    {
        instance.send(
            group->server(0).address(), ProxyHeader({ .source = Endpoint(1, 1), .destination = service, .cancelledRequest = 2 }), "");
        waitUntilProcessed();
        CHECK(group->server(0).counters().cancelled == 0);
    }
}

TEST_CASE_METHOD(BackendFixture, "notifications are counted per flow", "[standins][backend]")
{
    const auto bytes = Json::to_msgpack(Json::array({ 2, "feed", Json::array() }));
    const std::string notification(bytes.begin(), bytes.end());
    send(notification);
    CHECK(receive() == Json::array({ 2, "seen", { "s1", 1 } }));
    send(notification);
    CHECK(receive() == Json::array({ 2, "seen", { "s1", 2 } }));
    instance.send(group->server(0).address(), ProxyHeader({ .source = Endpoint(1, 1), .destination = service }), notification);
    CHECK(receive() == Json::array({ 2, "seen", { "s1", 1 } }));
    CHECK(group->server(0).pushToFlows() == 2);
    CHECK(receive() == Json::array({ 2, "push", { "s1", 1 } }));
}

TEST_CASE_METHOD(BackendFixture, "payloads that are no RPC messages are echoed and malformed datagrams are counted", "[standins][backend]")
{
    instance.send(group->server(0).address(), "short");
    send("plain bytes");
    const ReceivedDatagram response = instance.receive();
    CHECK(response.payload() == "plain bytes");
    CHECK(response.header().destination() == caller);
    CHECK(group->server(0).counters().malformed == 1);
}

TEST_CASE_METHOD(BackendFixture, "responses can be duplicated, crossed, lost and held back", "[standins][backend]")
{
    SECTION("duplicated")
    {
        group->server(0).setFaults({ .duplicatePercent = 100 });
        send(request(1));
        CHECK(receive()[1] == 1);
        CHECK(receive()[1] == 1);
    }
    SECTION("crossed: the caller of the request before gets the response too")
    {
        group->server(0).setFaults({ .crossedPercent = 100 });
        send(request(1));
        CHECK(receive()[1] == 1);
        instance.send(group->server(0).address(), ProxyHeader({ .source = Endpoint(1, 1), .destination = service }), request(2));
        const ReceivedDatagram crossed = instance.receive();
        CHECK(crossed.header().destination() == caller);
        CHECK(decoded(crossed.payload())[1] == 2);
        CHECK(instance.receive().header().destination() == Endpoint(1, 1));
    }
    SECTION("lost: the request runs without a response")
    {
        group->server(0).setFaults({ .lostPercent = 100 });
        send(request(1));
        waitUntilProcessed();
        CHECK(runs(1) == 1);
    }
    SECTION("late: a later message is answered first")
    {
        group->server(0).setFaults({ .latePercent = 100, .lateDelay = std::chrono::milliseconds(20) });
        send(request(1));
        waitUntilProcessed();
        CHECK(receive()[1] == 1);
    }
    SECTION("frozen: nothing is received until the fault is switched off")
    {
        group->server(0).setFaults({ .freeze = true });
        send(request(1));
        context.restart();
        context.poll();
        CHECK(runs(1) == 0);
        group->server(0).setFaults({});
        CHECK(receive()[1] == 1);
    }
}

TEST_CASE_METHOD(BackendFixture, "the health endpoint can drain, report a false or a stale state, and fail", "[standins][backend]")
{
    CHECK(health() == Json { { "state", "ok" }, { "in_flight", 0 }, { "queued", 0 } });
    group->server(0).setFaults({ .draining = true });
    CHECK(health()["state"] == "draining");

    SECTION("false state")
    {
        group->server(0).setFaults({ .draining = true, .healthState = "ok" });
        CHECK(health()["state"] == "ok");
    }
    SECTION("stale state")
    {
        group->server(0).setFaults({ .healthLag = std::chrono::seconds(5) });
        CHECK(health()["in_flight"] == 0);
        send(request(1, endless));
        waitUntilProcessed();
        CHECK(health()["in_flight"] == 0);
        clock.advance(std::chrono::seconds(5));
        CHECK(health()["in_flight"] == 1);
    }
    SECTION("failure")
    {
        group->server(0).setFaults({ .healthDown = true });
        CHECK(await(context, rawExchange(group->healthAddress(0), "GET /health HTTP/1.1\r\n\r\n")).empty());
    }
}

TEST_CASE_METHOD(BackendFixture, "the admin path serves faults and counters", "[standins][backend]")
{
    HttpRequest change;
    change.method = "PUT";
    change.target = "/standin/faults?server=s1";
    change.body = R"({"freeze": true, "late_percent": 12.5, "health_state": "overloaded"})";
    CHECK(await(context, group->handle(change))->status == 200);
    CHECK(group->server(0).faults() == BackendFaults { .freeze = true, .latePercent = 12.5, .healthState = "overloaded" });
    change.body = R"({"late_percent": 101})";
    CHECK(await(context, group->handle(change))->status == 400);
    change.target = "/standin/faults?server=other";
    CHECK(await(context, group->handle(change))->status == 404);
    HttpRequest counters;
    counters.target = "/standin/counters";
    CHECK(Json::parse(await(context, group->handle(counters))->body)["s1"]["requests"] == 0);
}

TEST_CASE("a list of backend servers is parsed, and an invalid one is refused", "[standins][backend]")
{
    const auto members = BackendGroup::parseMembers("a=127.0.0.1:1=127.0.0.1:2,b=127.0.0.1:3=127.0.0.1:4", {});
    REQUIRE(members.has_value());
    CHECK(members->at(1).options.name == "b");
    CHECK(members->at(1).options.address == Endpoint(0x7f000001, 3));
    CHECK(members->at(1).healthAddress == Endpoint(0x7f000001, 4));
    for (const char *text : { "a", "a=127.0.0.1:1", "=127.0.0.1:1=127.0.0.1:2", "a=127.0.0.1:1=::1" }) {
        CHECK(BackendGroup::parseMembers(text, {}).error().kind() == ErrorKind::Malformed);
    }
}

TEST_CASE("the backend servers of a pool are taken from the configuration", "[standins][backend]")
{
    BackendServer::Fields server { .name = "s1", .address = Endpoint(0x7f000001, 1), .health = Endpoint(0x7f000001, 2), .slots = 3 };
    BackendServer::Fields other { .name = "s2", .address = Endpoint(0x7f000001, 3) };
    ConfigSet::Fields fields;
    fields.pools = { BackendPool({ .name = "a", .servers = { BackendServer(server) } }),
        BackendPool({ .name = "b", .servers = { BackendServer(other) } }) };
    const ConfigSet set(fields);
    const auto members = BackendGroup::membersFromConfig(set, "a", {});
    REQUIRE(members.has_value());
    REQUIRE(members->size() == 1);
    CHECK(members->front().options.slots == 3);
    CHECK(members->front().healthAddress == Endpoint(0x7f000001, 2));
    CHECK(BackendGroup::membersFromConfig(set, "", {})->size() == 2);
    CHECK(BackendGroup::membersFromConfig(set, "c", {}).error().kind() == ErrorKind::NotFound);
}
