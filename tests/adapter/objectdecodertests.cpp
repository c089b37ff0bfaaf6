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

Result<StreamServer> decodeSpec(const ObjectMeta &meta, const Json &spec)
{
    return decodeServer(meta, JsonText(spec.dump()), now);
}

Result<DecodedConfiguration> decodeSpec(const Json &spec)
{
    return decodeConfiguration({ "main", { 0, 9 } }, JsonText(spec.dump()));
}

} // namespace

TEST_CASE("all fields of a server's entry are decoded", "[adapter][objectdecoder]")
{
    Json spec = serverSpec();
    spec["cold_remaining_ms"] = 800;
    const auto server = decodeSpec(serverMeta, spec);
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
    CHECK(decodeSpec(serverMeta, spec)->phase == ServerPhase::Draining);
}

TEST_CASE("a server's entry with a missing field or a field of a wrong type is refused", "[adapter][objectdecoder]")
{
    const auto *key = GENERATE("service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "sequence", "born");
    CAPTURE(key);
    Json missing = serverSpec();
    missing.erase(key);
    CHECK_FALSE(decodeSpec(serverMeta, missing).has_value());
    Json wrongType = serverSpec();
    wrongType[key] = Json::array();
    const auto refused = decodeSpec(serverMeta, wrongType);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().kind() == ErrorKind::Malformed);
    CHECK(refused.error().detail().find(key) != std::string::npos);
}

TEST_CASE(
    "a server's entry with an unknown state, no integer as start time, no slots or an invalid id is refused", "[adapter][objectdecoder]")
{
    Json spec = serverSpec();
    spec["state"] = "resting";
    CHECK_FALSE(decodeSpec(serverMeta, spec).has_value());
    spec = serverSpec();
    spec["born"] = "yesterday";
    CHECK_FALSE(decodeSpec(serverMeta, spec).has_value());
    spec = serverSpec();
    spec["slots"] = 0;
    CHECK_FALSE(decodeSpec(serverMeta, spec).has_value());
    CHECK_FALSE(decodeSpec({ "i-zzz", { 0, 4 } }, serverSpec()).has_value());
    CHECK_FALSE(decodeSpec(serverMeta, Json("text")).has_value());
    CHECK_FALSE(decodeSpec(serverMeta, Json()).has_value());
}

TEST_CASE("an entry that shows no start time names no server", "[adapter][objectdecoder][odd]")
{
    // Guards against a copy of an entry by another writer: without a start time it looks like a server of its own. New flows went to a
    // server that drains, and its open flows were reset when the copy was removed.
    for (const Json &value : { Json(nullptr), Json(0), Json("1780000000123") }) {
        Json spec = serverSpec();
        spec["born"] = value;
        CAPTURE(spec.dump());
        CHECK_FALSE(decodeSpec(serverMeta, spec).has_value());
    }
    Json missing = serverSpec();
    missing.erase("born");
    const auto refused = decodeSpec(serverMeta, missing);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().detail().find("born") != std::string::npos);
}

TEST_CASE("an entry whose id ends in the number of any server names no server", "[adapter][objectdecoder][odd]")
{
    // Guards against requests that a server of another service runs: behind the number 0, each server accepts a packet.
    for (const auto *id : { "i-0", "pondwatch-0", "0000000000000000" }) {
        CAPTURE(id);
        CHECK_FALSE(decodeSpec({ id, { 0, 4 } }, serverSpec()).has_value());
    }
    CHECK(decodeSpec({ "i-10", { 0, 4 } }, serverSpec()).has_value());
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
    const auto decoded = decodeSpec(configurationSpec());
    REQUIRE(decoded.has_value());
    CHECK(decoded->ignored.empty());
    const StreamConfiguration *const configuration = &decoded->configuration;
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

TEST_CASE("an odd value in a server's entry is refused, whatever its type and size", "[adapter][objectdecoder][odd]")
{
    // Guards against values that wrap around: 2^32 + 2 slots as 2, a port 65536 as 0, a start in the far future as one in the past.
    const auto refuses = [](const char *key, const std::string &value) {
        CAPTURE(key, value.substr(0, 40));
        Json spec = serverSpec();
        spec.erase(key);
        std::string text = spec.dump();
        text.pop_back();
        text += std::string(",\"") + key + "\":" + value + "}";
        CHECK_FALSE(decodeServer(serverMeta, JsonText(text), now).has_value());
    };
    const std::string deep = std::string(200000, '[') + std::string(200000, ']');
    const std::string longText = "\"" + std::string(10000, 'a') + "\"";
    for (const auto *key : { "slots", "cold_remaining_ms", "sequence", "born" }) {
        for (const std::string &value : { std::string("-1"), std::string("1.5"), std::string("1e400"), std::string("\"2\""),
                 std::string("1000000000000000000000"), deep, std::string("null"), std::string("true") }) {
            refuses(key, value);
        }
    }
    for (const auto *value : { "4294967298", "65536" }) {
        refuses("slots", value);
    }
    refuses("cold_remaining_ms", "18446744073709551615");
    refuses("born", "9223372036854775808");
    for (const auto *value : { "\"10.128.0.9:0\"", "\"10.128.0.9:65536\"", "\"10.128.0.9:-1\"", "\"10.128.0.9:4294967376\"",
             "\"10.128.0.9\"", "\"256.0.0.1:80\"", "\"10.128.0.9:80 \"", "80" }) {
        refuses("address", value);
    }
    for (const auto *key : { "service", "zone" }) {
        refuses(key, "\"\"");
        refuses(key, longText);
        refuses(key, "\"\xff\"");
    }
    refuses("service\":\"a\",\"service", "\"b\"");
    refuses("note", deep);
    refuses("note", "1e400");
}

TEST_CASE("an entry with members of a later version is decoded", "[adapter][objectdecoder][odd]")
{
    Json spec = serverSpec();
    spec["weight_class"] = { { "name", "heavy" }, { "factors", { 1.5, -2 } } };
    CHECK(decodeSpec(serverMeta, spec).has_value());
}

TEST_CASE("an id of 10 kB is refused", "[adapter][objectdecoder][odd]")
{
    CHECK_FALSE(decodeSpec({ "i-" + std::string(10000, '0') + "1", { 0, 4 } }, serverSpec()).has_value());
    CHECK_FALSE(decodeSpec({ std::string(10000, 'x') + "-1", { 0, 4 } }, serverSpec()).has_value());
}

TEST_CASE("metadata is read although another part of the object can't be", "[adapter][objectdecoder][odd]")
{
    const auto meta = decodeObjectMeta(JsonText(R"({"spec":1e400,"meta":{"finalizers":[1e400],"name":"i-1","revision":7},"status":")"
                                                "\xff\"}"),
        2);
    REQUIRE(meta.has_value());
    CHECK(meta->name == "i-1");
    CHECK(meta->position == StorePosition(2, 7));
    for (const auto *text : { "{}", "7", R"({"meta":{"name":"i-1"}})", R"({"meta":{"name":7,"revision":7}})",
             R"({"meta":{"name":"i-1","revision":-7}})", R"({"meta":{"name":"i-1","revision":1e400}})" }) {
        CAPTURE(text);
        CHECK_FALSE(decodeObjectMeta(JsonText(text), 0).has_value());
    }
}

TEST_CASE("a configuration without a version or a list of routes is refused", "[adapter][objectdecoder]")
{
    Json spec = configurationSpec();
    SECTION("no list of routes")
    {
        spec.erase("routes");
    }
    SECTION("routes of another type")
    {
        spec["routes"] = "r-1";
    }
    SECTION("a version that is not a number")
    {
        spec["version"] = "seven";
    }
    SECTION("a negative version")
    {
        spec["version"] = -7;
    }
    SECTION("a value that is not an object")
    {
        spec = Json::array();
    }
    const auto refused = decodeSpec(spec);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().kind() == ErrorKind::Malformed);
}

TEST_CASE("an unknown or invalid value in a configuration costs at most its own route", "[adapter][objectdecoder][odd]")
{
    // Guards against a deployment of which nothing is served because one of its routes has a kind that this build doesn't know.
    Json spec = configurationSpec();
    std::string changed; // text that replaces the route r-1, if set
    bool hasRoute = true;
    bool hasTargets = true;
    SECTION("an unknown kind of request")
    {
        spec["routes"][0]["kind"] = "sometimes";
    }
    SECTION("no kind of request")
    {
        spec["routes"][0].erase("kind");
    }
    SECTION("a kind of another type")
    {
        spec["routes"][0]["kind"] = { { "name", "safe" } };
    }
    SECTION("an unknown service in a traffic split, which still has another target")
    {
        spec["routes"][0]["traffic_split"][0]["service"] = "nobody";
    }
    SECTION("unknown services only")
    {
        spec["routes"][0]["traffic_split"][0]["service"] = "nobody";
        spec["routes"][0]["traffic_split"][1]["service"] = "nobody-else";
        hasTargets = false;
    }
    SECTION("an empty traffic split")
    {
        spec["routes"][0]["traffic_split"] = Json::array();
        hasTargets = false;
    }
    SECTION("a traffic split of another type")
    {
        spec["routes"][0]["traffic_split"] = { { "huvo11a", 90 } };
        hasTargets = false;
    }
    SECTION("weights that are no whole numbers or too large")
    {
        spec["routes"][0]["traffic_split"][0]["weight"] = 0.9;
        spec["routes"][0]["traffic_split"][1]["weight"] = std::uint64_t { 1 } << 32;
        hasTargets = false;
    }
    SECTION("no name")
    {
        spec["routes"][0].erase("name");
    }
    SECTION("an address that can't be read")
    {
        spec["routes"][0]["hostname"] = "pond.example";
        hasRoute = false;
    }
    SECTION("a port that can't be read")
    {
        spec["routes"][0]["path_prefix"] = "8443";
        hasRoute = false;
    }
    SECTION("a route that is not an object")
    {
        spec["routes"][0] = 7;
        hasRoute = false;
    }
    SECTION("a number that is too large")
    {
        changed = R"({"name":"r-1","priority":1e400})";
        hasRoute = false;
    }
    SECTION("values that are nested too deep")
    {
        changed = R"({"name":"r-1","labels":)" + std::string(200000, '[') + std::string(200000, ']') + "}";
        hasRoute = false;
    }
    std::string text = spec.dump();
    if (!changed.empty()) {
        const std::string replaced = spec["routes"][0].dump();
        text.replace(text.find(replaced), replaced.size(), changed);
    }
    const auto decoded = decodeConfiguration({ "main", { 0, 9 } }, JsonText(text));
    REQUIRE(decoded.has_value());
    CHECK(decoded->configuration.hasUnreadableRoutes == !hasRoute);
    CHECK_FALSE(decoded->ignored.empty());
    const StreamRoute *const route = decoded->configuration.find(Endpoint(0xc6120001, 8443));
    CHECK((route != nullptr) == hasRoute);
    if (route != nullptr) {
        CHECK(route->targets.empty() != hasTargets);
    }
    const auto unchanged = decodeSpec(configurationSpec());
    CHECK(*decoded->configuration.find(Endpoint(0xc6120002, 443)) == *unchanged->configuration.find(Endpoint(0xc6120002, 443)));
    CHECK(decoded->configuration.version == 7);
}

TEST_CASE("requests of the kinds safe and download may be repeated, and those of all other kinds may not", "[adapter][objectdecoder]")
{
    const auto [kind, isIdempotent, isKnown] = GENERATE(table<std::string, bool, bool>({ { "safe", true, true }, { "download", true, true },
        { "unsafe", false, true }, { "upload", false, true }, { "", false, false }, { "Safe", false, false }, { "safe ", false, false } }));
    CAPTURE(kind);
    Json spec = configurationSpec();
    spec["routes"][0]["kind"] = kind;
    const auto decoded = decodeSpec(spec);
    REQUIRE(decoded.has_value());
    CHECK(decoded->configuration.find(Endpoint(0xc6120001, 8443))->idempotent == isIdempotent);
    CHECK(decoded->ignored.empty() == isKnown);
}

TEST_CASE("two routes at one address take new flows only if they have the same targets", "[adapter][objectdecoder][odd]")
{
    Json spec = configurationSpec();
    spec["routes"].push_back(spec["routes"][0]);
    spec["routes"][2]["kind"] = "unsafe";
    const auto same = decodeSpec(spec);
    REQUIRE(same.has_value());
    CHECK(same->configuration.find(Endpoint(0xc6120001, 8443))->targets.size() == 2);
    CHECK_FALSE(same->configuration.find(Endpoint(0xc6120001, 8443))->idempotent);
    spec["routes"][2]["traffic_split"][0]["weight"] = 91;
    const auto different = decodeSpec(spec);
    REQUIRE(different.has_value());
    CHECK(different->configuration.find(Endpoint(0xc6120001, 8443))->targets.empty());
    CHECK(different->ignored.size() == 1);
}

TEST_CASE("a configuration whose services or limits can't be read keeps its routes", "[adapter][objectdecoder][odd]")
{
    Json spec = configurationSpec();
    spec["services"] = GENERATE(Json(), Json("huvo11a"), Json(7));
    spec["limits"]["idle_timeout_ms"] = GENERATE(Json("15s"), Json(-1), Json(1.5), Json(std::uint64_t { 1 } << 63));
    const auto decoded = decodeSpec(spec);
    REQUIRE(decoded.has_value());
    CHECK(decoded->configuration.routes.size() == 2);
    CHECK(decoded->configuration.idleTimeout == milliseconds(0));
    CHECK(decoded->ignored.size() == 2);
}

TEST_CASE("an entry of the services that can't be read leaves the other services known", "[adapter][objectdecoder][odd]")
{
    Json spec = configurationSpec();
    spec["services"].push_back({ { "name", 7 } });
    spec["services"].push_back("text");
    const auto decoded = decodeSpec(spec);
    REQUIRE(decoded.has_value());
    CHECK(decoded->configuration.find(Endpoint(0xc6120001, 8443))->targets.size() == 2);
}

TEST_CASE("priority, time limit, target latency and cold limit are decoded, and none of them is required", "[adapter][objectdecoder]")
{
    Json spec = configurationSpec();
    spec["routes"][0]["target_latency_ms"] = 150;
    spec["services"][0]["cold_per_s"] = 12.5;
    spec["services"][1]["cold_per_s"] = 0;
    const auto decoded = decodeSpec(spec);
    REQUIRE(decoded.has_value());
    CHECK(decoded->ignored.empty());
    const StreamRoute *const route = decoded->configuration.find(Endpoint(0xc6120001, 8443));
    CHECK(route->priority == std::optional<std::uint32_t>(2));
    CHECK(route->timeLimit == milliseconds(1000));
    CHECK(route->targetLatency == milliseconds(150));
    CHECK(decoded->configuration.services == std::map<std::string, ServiceLimits> { { "huvo11a", { 12.5 } } });
    const StreamRoute *const other = decoded->configuration.find(Endpoint(0xc6120002, 443));
    CHECK_FALSE(other->priority.has_value());
    CHECK(other->timeLimit == milliseconds(0));
    CHECK(other->targetLatency == milliseconds(0));
    spec["services"][0]["cold_per_s"] = 13;
    CHECK_FALSE(decodeSpec(spec)->configuration == decoded->configuration);
}

TEST_CASE("an invalid priority, time or limit costs only itself", "[adapter][objectdecoder][odd]")
{
    // Guards against a route that is lost, or a request that is judged by a nonsensical time, because of one odd number.
    const auto [key, value] = GENERATE(table<std::string, std::string>({ { "priority", "-1" }, { "priority", "1.5" },
        { "priority", "\"0\"" }, { "priority", "256" }, { "priority", "1e400" }, { "timeout_ms", "0" }, { "timeout_ms", "-1000" },
        { "timeout_ms", "\"1s\"" }, { "timeout_ms", "86400001" }, { "timeout_ms", "18446744073709551616" }, { "target_latency_ms", "0" },
        { "target_latency_ms", "[]" }, { "target_latency_ms", "801" }, { "target_latency_ms", "1e400" }, { "cold_per_s", "-0.5" },
        { "cold_per_s", "\"6\"" }, { "cold_per_s", "true" }, { "cold_per_s", "1e10" }, { "cold_per_s", "1e400" } }));
    CAPTURE(key, value);
    Json spec = configurationSpec();
    Json &route = spec["routes"][0];
    route["priority"] = 1;
    route["timeout_ms"] = 800;
    route["target_latency_ms"] = 150;
    spec["services"][0]["cold_per_s"] = 6;
    StreamConfiguration expected = decodeSpec(spec)->configuration;
    StreamRoute &expectedRoute = expected.routes.at(Endpoint(0xc6120001, 8443));
    if (key == "priority") {
        expectedRoute.priority.reset();
    } else if (key == "timeout_ms") {
        expectedRoute.timeLimit = milliseconds(0);
    } else if (key == "target_latency_ms") {
        expectedRoute.targetLatency = milliseconds(0);
    } else {
        expected.services.clear();
    }
    (key == "cold_per_s" ? spec["services"][0] : route)[key] = "REPLACED";
    std::string text = spec.dump();
    text.replace(text.find("\"REPLACED\""), std::string("\"REPLACED\"").size(), value);
    const auto decoded = decodeConfiguration({ "main", { 0, 9 } }, JsonText(text));
    REQUIRE(decoded.has_value());
    CHECK(decoded->configuration == expected);
    REQUIRE(decoded->ignored.size() == 1);
    CHECK(decoded->ignored[0].reason.find(key) != std::string::npos);
}

TEST_CASE("two routes at one address, or two services with one name, keep only the values that are equal", "[adapter][objectdecoder][odd]")
{
    Json spec = configurationSpec();
    spec["routes"][0]["target_latency_ms"] = 150;
    spec["routes"].push_back(spec["routes"][0]);
    spec["routes"][2].erase("priority");
    spec["routes"][2]["timeout_ms"] = 900;
    spec["services"][0]["cold_per_s"] = 6;
    spec["services"].push_back({ { "name", "huvo11a" }, { "cold_per_s", 7 } });
    const auto decoded = decodeSpec(spec);
    REQUIRE(decoded.has_value());
    const StreamRoute *const route = decoded->configuration.find(Endpoint(0xc6120001, 8443));
    CHECK_FALSE(route->priority.has_value());
    CHECK(route->timeLimit == milliseconds(0));
    CHECK(route->targetLatency == milliseconds(150));
    CHECK(route->targets.size() == 2);
    CHECK(decoded->configuration.services.empty());
    CHECK(decoded->ignored.size() == 3);
}
