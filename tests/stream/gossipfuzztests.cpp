#include "fakes/mutator.h"
#include "stream/gossipcodec.h"
#include "stream/routerfixture.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

namespace
{

const TimePoint now = TimePoint() + std::chrono::hours(2000);
const std::vector<std::string> tokens { "\xcf\xff\xff\xff\xff\xff\xff\xff\xff", "\xce\xff\xff\xff\xff", "\xdd\xff\xff\xff\xff",
    "\xdc\xff\xff", "\x90", "\xc0", "\xc3", "\x00", "\xd9\xff", "\x91\x91\x91\x91\x91\x91\x91\x91\x91" };

ServerUpdate listed(std::uint64_t number)
{
    ServerUpdate update;
    update.listed = RouterFixture::server(number);
    update.listed->coldUntil = now + std::chrono::milliseconds(500);
    update.position = update.listed->position;
    return update;
}

PeerRecord record()
{
    return { .id = "entry-1", .failureDomain = "a", .address = Endpoint(0x0a000001, 7720), .startedAt = 5, .heartbeat = 6 };
}

} // namespace

TEST_CASE("mutated messages and states of instances are refused or encoded again alike", "[stream][fuzz]")
{
    const FuzzPlan plan;
    std::cout << "seed " << plan.seed << " cases " << plan.cases << '\n';
    SeededRandom random(plan.seed);
    Mutator mutator(random);
    GossipMessage message { .deployment = "dewnet", .sender = record(), .pushed = true, .baseRevision = 37 };
    message.view = { { 1, 40 }, 114, { 1, 38 }, { 1, 41 }, now - std::chrono::seconds(1), now - std::chrono::seconds(2) };
    message.view.evacuationsPosition = { 1, 41 };
    message.view.evacuationsConfirmedAt = now - std::chrono::seconds(3);
    message.evacuations = { { 0, 60 }, 2, { { "a", { 1, 30 } }, { "b", { 0, 50 }, now + std::chrono::seconds(20) } } };
    message.changes = { listed(7), listed(8) };
    message.ended = { { "i-9", 1234 } };
    message.records = { record() };
    message.load = { { { .service = 7, .inFlight = 2.5 } }, { { 9, 2, 32 } }, now };
    PeerState state { .deployment = "dewnet", .sender = record(), .view = message.view, .changes = message.changes };
    state.configuration = RouterFixture::configuration(38);
    state.configuration.routes.begin()->second.priority = 1;
    state.configuration.routes.begin()->second.timeLimit = std::chrono::milliseconds(1000);
    state.configuration.services = { { "pond", { 6.5 } } };
    state.records = { record(), record() };
    state.evacuations = message.evacuations;
    const std::string validMessage = GossipCodec::encode(message, now);
    const std::string validState = GossipCodec::encode(state, now);
    for (std::uint64_t round = 0; round < plan.cases; ++round) {
        CAPTURE(round);
        if (const auto decoded = GossipCodec::decodeMessage(mutator.mutate(validMessage, tokens), now)) {
            const auto again = GossipCodec::decodeMessage(GossipCodec::encode(*decoded, now), now);
            REQUIRE(again.has_value());
            REQUIRE(again->view == decoded->view);
            REQUIRE(again->sender == decoded->sender);
            REQUIRE(again->ended == decoded->ended);
            REQUIRE(again->changes.size() == decoded->changes.size());
            REQUIRE(again->evacuations == decoded->evacuations);
            REQUIRE(again->load.services == decoded->load.services);
            REQUIRE(again->load.servers.size() == decoded->load.servers.size());
        }
        if (const auto decoded = GossipCodec::decodeState(mutator.mutate(validState, tokens), now)) {
            const auto again = GossipCodec::decodeState(GossipCodec::encode(*decoded, now), now);
            REQUIRE(again.has_value());
            REQUIRE(again->configuration == decoded->configuration);
            REQUIRE(again->view == decoded->view);
            REQUIRE(again->records == decoded->records);
            REQUIRE(again->evacuations == decoded->evacuations);
        }
    }
}
