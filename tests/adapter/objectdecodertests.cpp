#include "platform/objectdecoder.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Samphirepitch;

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace
{

const ObjectMeta serverMeta { "i-7f3a91c2", { 0, 41 } };
const TimePoint now = TimePoint() + std::chrono::seconds(100);

Json serverSpec()
{
    return Json::parse(R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"lokoja","version":"v1","slots":2,
        "state":"ready","cold_remaining_ms":0,"sequence":4,"born":1780000000123})");
}

Json configurationSpec()
{
    return Json::parse(R"({"version":7,"routes":[
        {"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8443/","kind":"safe","timeout_ms":1000,"priority":2,
         "traffic_split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],"max_attempts":2},
        {"name":"r-2","hostname":"198.18.0.2","path_prefix":"/443/","kind":"download","service":"wuno96b"}],
        "services":[{"name":"huvo11a","connection_limit":2000},{"name":"wuno96b"}],"limits":{"idle_timeout_ms":15000}})");
}

} // namespace

TEST_CASE("all fields of a server's entry are decoded", "[adapter][objectdecoder]")
{
    Json spec = serverSpec();
    spec["cold_remaining_ms"] = 800;
    const auto server = decodeServer(serverMeta, spec, now);
    REQUIRE(server.has_value());
    CHECK(server->id == "i-7f3a91c2");
    CHECK(server->number == 0x7f3a91c2);
    CHECK(server->service == "huvo11a");
    CHECK(server->address.toString() == "10.128.0.9:8080");
    CHECK(server->failureDomain == "lokoja");
    CHECK(server->slots == 2);
    CHECK(server->phase == ServerPhase::Ready);
    CHECK(server->coldUntil == now + milliseconds(800));
    CHECK(server->startedAt == 1780000000123);
    CHECK(server->position == StorePosition(0, 41));
    spec["state"] = "draining";
    CHECK(decodeServer(serverMeta, spec, now)->phase == ServerPhase::Draining);
}

TEST_CASE("a server's entry with a missing field or a field of a wrong type is refused", "[adapter][objectdecoder]")
{
    const auto *key = GENERATE("service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "sequence");
    CAPTURE(key);
    Json missing = serverSpec();
    missing.erase(key);
    CHECK_FALSE(decodeServer(serverMeta, missing, now).has_value());
    Json wrongType = serverSpec();
    wrongType[key] = Json::array();
    const auto refused = decodeServer(serverMeta, wrongType, now);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().kind() == ErrorKind::Malformed);
    CHECK(refused.error().detail().find(key) != std::string::npos);
}

TEST_CASE(
    "a server's entry with an unknown state, no integer as start time, no slots or an invalid id is refused", "[adapter][objectdecoder]")
{
    Json spec = serverSpec();
    spec["state"] = "resting";
    CHECK_FALSE(decodeServer(serverMeta, spec, now).has_value());
    spec = serverSpec();
    spec["born"] = "yesterday";
    CHECK_FALSE(decodeServer(serverMeta, spec, now).has_value());
    spec = serverSpec();
    spec["slots"] = 0;
    CHECK_FALSE(decodeServer(serverMeta, spec, now).has_value());
    CHECK_FALSE(decodeServer({ "i-zzz", { 0, 4 } }, serverSpec(), now).has_value());
    CHECK_FALSE(decodeServer(serverMeta, Json("text"), now).has_value());
    CHECK_FALSE(decodeServer(serverMeta, Json(), now).has_value());
}

TEST_CASE("a server's number is read from the hexadecimal digits of its id, whatever their count", "[adapter][objectdecoder]")
{
    CHECK(serverNumber("i-7f3a91c2") == 0x7f3a91c2);
    CHECK(serverNumber("i-0a856ca9df") == 0x0a856ca9df);
    CHECK(serverNumber("ffffffffffffffff") == 0xffffffffffffffff);
    for (const auto *id : { "", "i-", "i-xyz", "i-12g", "i-11112222333344445" }) {
        CAPTURE(id);
        CHECK_FALSE(serverNumber(id).has_value());
    }
}

TEST_CASE("a configuration is decoded into routes by address", "[adapter][objectdecoder]")
{
    const auto configuration = decodeConfiguration({ "main", { 0, 9 } }, configurationSpec());
    REQUIRE(configuration.has_value());
    CHECK(configuration->version == 7);
    CHECK(configuration->position == StorePosition(0, 9));
    CHECK(configuration->idleTimeout == milliseconds(15000));
    REQUIRE(configuration->routes.size() == 2);
    const StreamRoute *const split = configuration->find(Endpoint(0xc6120001, 8443));
    REQUIRE(split != nullptr);
    CHECK(split->name == "r-1");
    CHECK(split->idempotent);
    CHECK(split->targets == std::vector<RouteTarget> { { "huvo11a", 90 }, { "wuno96b", 10 } });
    const StreamRoute *const plain = configuration->find(Endpoint(0xc6120002, 443));
    REQUIRE(plain != nullptr);
    CHECK(plain->targets == std::vector<RouteTarget> { { "wuno96b", 1 } });
}

TEST_CASE("a configuration with one invalid part is refused as a whole", "[adapter][objectdecoder]")
{
    // Guards against a configuration of which only some routes are applied.
    Json spec = configurationSpec();
    SECTION("a route to an unknown service")
    {
        spec["routes"][1]["service"] = "nobody";
    }
    SECTION("a route without a valid address")
    {
        spec["routes"][1]["path_prefix"] = "443";
    }
    SECTION("two routes with the same address")
    {
        spec["routes"].push_back(spec["routes"][1]);
    }
    SECTION("a traffic split without weight")
    {
        spec["routes"][0]["traffic_split"] = Json::array();
    }
    SECTION("no list of routes")
    {
        spec.erase("routes");
    }
    SECTION("an unknown kind of request")
    {
        spec["routes"][0]["kind"] = "sometimes";
    }
    SECTION("a version that is not a number")
    {
        spec["version"] = "seven";
    }
    SECTION("a value that is not an object")
    {
        spec = Json::array();
    }
    const auto refused = decodeConfiguration({ "main", { 0, 9 } }, spec);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().kind() == ErrorKind::Malformed);
}
