#include "fakes/mutator.h"
#include "platform/objectdecoder.h"
#include "platform/platformpacketcodec.h"
#include "platform/storepage.h"
#include "stream/streamlimits.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

namespace
{

const ObjectMeta meta { "i-7f3a91c2", { 0, 41 } };
const TimePoint now = TimePoint() + std::chrono::seconds(100);

const std::string validServer = R"({"service":"pond","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":2,"state":"ready",)"
                                R"("cold_remaining_ms":800,"sequence":4,"born":1780000000123})";

const std::string validConfiguration
    = R"({"version":7,"routes":[{"name":"r-1","hostname":"198.18.0.1","path_prefix":"/8443/","kind":"safe","timeout_ms":1000,)"
      R"("traffic_split":[{"service":"pond","weight":90},{"service":"vault","weight":10}]},)"
      R"({"name":"r-2","hostname":"198.18.0.2","path_prefix":"/443/","kind":"upload","service":"vault"}],)"
      R"("services":[{"name":"pond"},{"name":"vault"}],"limits":{"idle_timeout_ms":15000}})";

/** Values that other writers may leave, each of them with matching brackets and quotes. */
const std::vector<std::string> oddValues { "1e400", "-1", "-0.5", "65536", "4294967298", "18446744073709551616", "null", "true", "\"\"",
    "\"\xff\xfe\"", "\"\\ud800\"", "\"10.0.0.1:0\"", "\"10.0.0.1:65536\"", "\"draining\"", "[]", "{}", "[[[[1e999]]]]",
    "{\"a\":{\"a\":[]}}", std::string(100, '[') + std::string(100, ']'), "\"" + std::string(10000, 'a') + "\"", "nul", "\"\\\"\"" };

const std::vector<std::string> tokens = [] {
    std::vector<std::string> all { "\"", "\\", "{", "}", "[", "]", ",", ":", "\0", "\"service\":" };
    all.insert(all.end(), oddValues.begin(), oddValues.end());
    return all;
}();

std::string objectWith(const std::string &name, const std::string &spec)
{
    return R"({"meta":{"name":")" + name + R"(","revision":41},"spec":)" + spec + R"(,"status":null})";
}

void checkServer(const Result<StreamServer> &server)
{
    if (!server) {
        return;
    }
    REQUIRE(server->slots >= 1);
    REQUIRE(server->slots <= StreamLimits::maxSlots);
    REQUIRE(server->startedAt >= 0);
    REQUIRE(server->coldUntil <= now + StreamLimits::maxColdTime);
    REQUIRE(server->address.port() != 0);
    REQUIRE_FALSE(server->service.empty());
    REQUIRE(server->service.size() <= StreamLimits::maxNameSize);
    REQUIRE(server->failureDomain.size() <= StreamLimits::maxNameSize);
}

void checkConfiguration(const Result<DecodedConfiguration> &decoded)
{
    if (!decoded) {
        return;
    }
    REQUIRE(decoded->configuration.idleTimeout >= std::chrono::milliseconds(0));
    REQUIRE(decoded->configuration.idleTimeout <= StreamLimits::maxIdleTimeout);
    for (const auto &[address, route] : decoded->configuration.routes) {
        REQUIRE(address == route.address);
        REQUIRE(route.name.size() <= StreamLimits::maxNameSize);
        REQUIRE(route.targets.size() <= StreamLimits::maxRouteTargets);
    }
}

} // namespace

TEST_CASE("mutated entries of servers and configurations are decoded within their limits or refused", "[adapter][fuzz]")
{
    const FuzzPlan plan;
    std::cout << "seed " << plan.seed << " cases " << plan.cases << '\n';
    SeededRandom random(plan.seed);
    Mutator mutator(random);
    for (std::uint64_t round = 0; round < plan.cases; ++round) {
        CAPTURE(round);
        const std::string server = mutator.mutate(validServer, tokens);
        checkServer(decodeServer(meta, JsonText(server), now));
        const std::string configuration = mutator.mutate(validConfiguration, tokens);
        checkConfiguration(decodeConfiguration(meta, JsonText(configuration)));
        const std::string object = mutator.mutate(objectWith("i-1", validServer), tokens);
        decodeObjectMeta(JsonText(object), 1);
    }
}

TEST_CASE("an odd value in one entry of a page never hides the others", "[adapter][fuzz]")
{
    const FuzzPlan plan;
    SeededRandom random(plan.seed);
    Mutator mutator(random);
    for (std::uint64_t round = 0; round < plan.cases; ++round) {
        CAPTURE(round);
        // Replaces one value of the entry: the text between a key and the next comma or bracket.
        const std::string separator = "\":";
        std::string spec = validServer;
        const std::size_t start = spec.find(separator, random.below(spec.rfind(separator) + 1)) + separator.size();
        spec.replace(start, spec.find_first_of(",}", start) - start, mutator.pick(oddValues));
        const std::string body = R"({"items":[)" + objectWith("i-1", validServer) + "," + objectWith("i-2", spec) + ","
            + mutator.pick(oddValues) + "," + objectWith("i-3", validServer) + R"(],"has_more":false,"store_revision":30})";
        const auto page = StorePage::decode(body, "items", 2);
        REQUIRE(page.has_value());
        REQUIRE(page->position() == StorePosition(2, 30));
        REQUIRE(page->entries().size() == 4);
        for (const std::size_t sound : { 0, 3 }) {
            REQUIRE(decodeServer(meta, page->entries()[sound].member("spec").value(), now).has_value());
        }
        checkServer(decodeServer(meta, page->entries()[1].member("spec").value(), now));
    }
}

TEST_CASE("mutated pages are decoded or refused", "[adapter][fuzz]")
{
    const FuzzPlan plan;
    SeededRandom random(plan.seed);
    Mutator mutator(random);
    const std::string valid = R"({"events":[{"deleted":true,"object":)" + objectWith("i-1", "null") + R"(},{"deleted":false,"object":)"
        + objectWith("i-2", validServer) + R"(}],"store_revision":34})";
    for (std::uint64_t round = 0; round < plan.cases; ++round) {
        CAPTURE(round);
        const auto page = StorePage::decode(mutator.mutate(valid, tokens), "events", 0);
        if (!page) {
            continue;
        }
        for (const JsonText &event : page->entries()) {
            const JsonText object = event.member("object").value_or(JsonText());
            decodeObjectMeta(object, 0);
            checkServer(decodeServer(meta, object.member("spec").value_or(JsonText()), now));
        }
    }
}

TEST_CASE("mutated packets are decoded within their size or refused, and a token changes no other byte", "[adapter][fuzz]")
{
    const FuzzPlan plan;
    SeededRandom random(plan.seed);
    Mutator mutator(random);
    const PlatformPacketCodec codec;
    std::string valid(34, '\0');
    valid[25] = 10; // the length of the data, whose field starts at byte 24
    valid += "0123456789";
    for (std::uint64_t round = 0; round < plan.cases; ++round) {
        CAPTURE(round);
        const std::string text = mutator.mutate(valid, { std::string(1, '\0'), "\xff\xff", std::string(40, 'a') });
        std::vector<std::uint8_t> bytes(text.begin(), text.end());
        const auto packet = codec.decode(bytes);
        if (!packet) {
            continue;
        }
        REQUIRE(packet->length <= bytes.size());
        std::vector<std::uint8_t> changed = bytes;
        codec.writeToken(changed, 0x01020304);
        auto expected = *packet;
        expected.token = 0x01020304;
        REQUIRE(codec.decode(changed) == expected);
        codec.writeToken(changed, packet->token);
        REQUIRE(changed == bytes);
    }
}
