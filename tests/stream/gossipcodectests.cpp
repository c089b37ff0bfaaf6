#include "core/random.h"
#include "stream/gossipcodec.h"
#include "stream/routerfixture.h"
#include "stream/streamlimits.h"

#include <catch2/catch.hpp>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;

namespace
{

const TimePoint sent = TimePoint() + std::chrono::seconds(100);
const TimePoint received = TimePoint() + std::chrono::seconds(7000); // the clock of another machine

PeerRecord record(std::string id)
{
    return { .id = std::move(id), .failureDomain = "a", .address = Endpoint(0x0a000001, 7720), .startedAt = 5, .heartbeat = 6 };
}

ViewStatus view(TimePoint now)
{
    return { { 0, 40 }, 114, { 0, 38 }, { 0, 41 }, now - milliseconds(300), now - milliseconds(900) };
}

GossipMessage message()
{
    GossipMessage message { .deployment = "dewnet", .sender = record("entry-1"), .view = view(sent), .pushed = true, .baseRevision = 37 };
    StreamServer cold = RouterFixture::server(7);
    cold.coldUntil = sent + milliseconds(500);
    cold.phase = ServerPhase::Draining;
    ServerUpdate listed;
    listed.listed = cold;
    listed.position = cold.position;
    ServerUpdate unlisted;
    unlisted.unlisted = "i-8";
    unlisted.position = { 0, 39 };
    message.changes = { listed, unlisted };
    message.ended = { { "i-9", 1234 } };
    message.records = { record("entry-2") };
    message.load = { { { .service = 7, .inFlight = 2.5 } }, { { 9, 2, 32 } }, sent };
    return message;
}

} // namespace

TEST_CASE("a decoded message equals the encoded one, with points in time on the clock of the receiver", "[stream][gossipcodec]")
{
    const auto read = GossipCodec::decodeMessage(GossipCodec::encode(message(), sent), received);
    REQUIRE(read.has_value());
    CHECK(read->deployment == "dewnet");
    CHECK(read->sender == record("entry-1"));
    CHECK(read->view == view(received));
    CHECK(read->pushed);
    CHECK(read->baseRevision == 37);
    REQUIRE(read->changes.size() == 2);
    StreamServer expected = *message().changes[0].listed;
    expected.coldUntil = received + milliseconds(500);
    CHECK(read->changes[0].listed == std::optional(expected));
    CHECK(read->changes[1].unlisted == std::optional<std::string>("i-8"));
    CHECK(read->changes[1].position == StorePosition(0, 39));
    CHECK(read->ended == message().ended);
    CHECK(read->records == message().records);
    CHECK(read->load.services == message().load.services);
    CHECK(read->load.servers == message().load.servers);
    CHECK(read->load.madeAt == received);
}

TEST_CASE("without a load report, messages are as earlier builds send them, and accepted", "[stream][gossipcodec]")
{
    GossipMessage plain = message();
    plain.load = {};
    const std::string bytes = GossipCodec::encode(plain, sent);
    REQUIRE(bytes.front() == '\x98'); // an array of eight fields, which earlier builds can read as well
    const auto read = GossipCodec::decodeMessage(bytes, received);
    REQUIRE(read.has_value());
    CHECK(read->records == plain.records);
    CHECK(read->load.isEmpty());
}

TEST_CASE("a view that was never confirmed is decoded as such", "[stream][gossipcodec]")
{
    GossipMessage empty { .sender = record("entry-1") };
    const auto read = GossipCodec::decodeMessage(GossipCodec::encode(empty, sent), received);
    REQUIRE(read.has_value());
    CHECK(read->view == ViewStatus());
}

TEST_CASE("the largest messages fit into one datagram", "[stream][gossipcodec]")
{
    GossipMessage largest = message();
    largest.changes.clear();
    largest.records.assign(GossipCodec::maxRecords, record("frontend-ajaokuta-1234"));
    largest.load.services.resize(PeerLoadReport::maxServices);
    largest.load.servers.resize(PeerLoadReport::serverCapacity(PeerLoadReport::maxServices));
    CHECK(GossipCodec::encode(largest, sent).size() < GossipCodec::maxMessageSize);
    GossipMessage changes { .sender = record("frontend-ajaokuta-1234"), .view = view(sent) };
    changes.changes.assign(GossipCodec::maxChanges, message().changes[0]);
    CHECK(GossipCodec::encode(changes, sent).size() < GossipCodec::maxMessageSize);
    // The report must not displace changes of servers with long names.
    while (GossipCodec::encode(changes, sent).size() < GossipCodec::maxMessageSize - 100) {
        for (ServerUpdate &change : changes.changes) {
            change.listed->id += 'i';
        }
    }
    changes.load = largest.load;
    const std::string withoutReport = GossipCodec::encode(changes, sent);
    CHECK(withoutReport.size() < GossipCodec::maxMessageSize);
    CHECK(GossipCodec::decodeMessage(withoutReport, received)->load.isEmpty());
}

TEST_CASE("a decoded state has the servers, routes and instance records of the encoded one", "[stream][gossipcodec]")
{
    PeerState state { .sender = record("entry-1"), .view = view(sent), .records = { record("entry-2") } };
    state.baseRevision = 39;
    state.changes = message().changes;
    state.configuration = RouterFixture::configuration(38);
    state.configuration.routes.begin()->second.idempotent = true;
    const auto read = GossipCodec::decodeState(GossipCodec::encode(state, sent), received);
    REQUIRE(read.has_value());
    CHECK(read->view == view(received));
    CHECK(read->baseRevision == 39);
    REQUIRE(read->changes.size() == 2);
    CHECK(read->changes[0].listed->id == "i-7");
    CHECK(read->changes[1].unlisted == std::optional<std::string>("i-8"));
    CHECK(read->configuration == state.configuration);
    CHECK(read->records == state.records);
}

TEST_CASE("messages that are truncated, too long or of other types are refused", "[stream][gossipcodec]")
{
    const std::string bytes = GossipCodec::encode(message(), sent);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CAPTURE(size);
        CHECK_FALSE(GossipCodec::decodeMessage(bytes.substr(0, size), received).has_value());
    }
    CHECK_FALSE(GossipCodec::decodeMessage(bytes + '\x01', received).has_value());
    CHECK_FALSE(GossipCodec::decodeState(bytes, received).has_value());
    CHECK_FALSE(GossipCodec::decodeMessage("GET / HTTP/1.1\r\n\r\n", received).has_value());
}

TEST_CASE("changed bytes never crash the decoder", "[stream][gossipcodec]")
{
    SeededRandom random(20261204);
    const std::string bytes = GossipCodec::encode(message(), sent);
    std::size_t readable = 0;
    for (int round = 0; round < 20000; ++round) {
        std::string changed = bytes;
        for (std::uint64_t change = 0; change <= random.below(4); ++change) {
            changed[random.below(changed.size())] = static_cast<char>(random.next());
        }
        readable += GossipCodec::decodeMessage(changed, received).has_value() ? 1 : 0;
    }
    CHECK(readable < 20000);
}

TEST_CASE("a route without targets is passed on and doesn't hide the others of a state", "[stream][gossipcodec]")
{
    // The configuration has a route whose targets no instance could read; the others have to stay in force everywhere.
    PeerState state { .sender = record("entry-1"), .view = view(sent) };
    state.configuration = RouterFixture::configuration(38);
    state.configuration.routes.begin()->second.targets.clear();
    const auto read = GossipCodec::decodeState(GossipCodec::encode(state, sent), received);
    REQUIRE(read.has_value());
    CHECK(read->configuration.routes == state.configuration.routes);
}

TEST_CASE("times that no instance sends are bounded", "[stream][gossipcodec]")
{
    // Guards against points in time that overflow, by which a server would count as cold for ever or a view as confirmed in the future.
    PeerState state { .sender = record("entry-1"), .view = view(sent) };
    state.configuration = RouterFixture::configuration(38);
    state.configuration.idleTimeout = std::chrono::milliseconds::max();
    const auto read = GossipCodec::decodeState(GossipCodec::encode(state, sent), received);
    REQUIRE(read.has_value());
    CHECK(read->configuration.idleTimeout == StreamLimits::maxIdleTimeout);
}

TEST_CASE("the era of the store is part of views, changes and configurations", "[stream][gossipcodec][era]")
{
    // Guards against an instance that takes the revisions of a store that returned from an older copy for those from before.
    GossipMessage sentMessage = message();
    sentMessage.view.serversPosition = { 3, 40 };
    sentMessage.view.configurationPosition = { 2, 38 };
    sentMessage.view.configurationCheckedPosition = { 3, 41 };
    const auto read = GossipCodec::decodeMessage(GossipCodec::encode(sentMessage, sent), received);
    REQUIRE(read.has_value());
    CHECK(read->view.serversPosition == StorePosition(3, 40));
    CHECK(read->view.configurationPosition == StorePosition(2, 38));
    CHECK(read->view.configurationCheckedPosition == StorePosition(3, 41));
    REQUIRE(read->changes.size() == 2);
    CHECK(read->changes[0].listed->position == StorePosition(3, 5));
    CHECK(read->changes[1].position == StorePosition(3, 39));
    PeerState state { .sender = record("entry-1"), .view = sentMessage.view };
    state.configuration = RouterFixture::configuration(38);
    const auto readState = GossipCodec::decodeState(GossipCodec::encode(state, sent), received);
    REQUIRE(readState.has_value());
    CHECK(readState->configuration.position == StorePosition(2, 38));
}

TEST_CASE("the urgency of routes and the limits of services reach all instances unchanged", "[stream][gossipcodec]")
{
    // Guards against instances that apply different limits, or an instance that drops them because it read the state of a peer.
    PeerState state { .sender = record("entry-1"), .view = view(sent) };
    state.configuration = RouterFixture::configuration(38);
    const std::string without = GossipCodec::encode(state, sent);
    StreamRoute &route = state.configuration.routes.begin()->second;
    route.priority = GENERATE(std::optional<std::uint32_t>(), std::optional<std::uint32_t>(0), std::optional<std::uint32_t>(3));
    route.timeLimit = milliseconds(1000);
    route.targetLatency = milliseconds(150);
    state.configuration.services = { { "pond", { 12.3 } }, { "wuno96b", { 0.1 } } };
    const auto read = GossipCodec::decodeState(GossipCodec::encode(state, sent), received);
    REQUIRE(read.has_value());
    CHECK(read->configuration == state.configuration);
    // A state that uses none of these fields is encoded as in earlier builds, which refuse fields that they don't know.
    CHECK(GossipCodec::encode(GossipCodec::decodeState(without, sent).value(), sent) == without);
    CHECK(without.size() + 3 * 9 < GossipCodec::encode(state, sent).size());
}

TEST_CASE("a configuration with routes that can't be read is one on each instance", "[stream][gossipcodec][odd]")
{
    // Guards against resets by instances that got the configuration from a peer and take the routes that it left out for removed ones.
    PeerState state { .sender = record("entry-1"), .view = view(sent) };
    state.configuration = RouterFixture::configuration(38);
    state.configuration.hasUnreadableRoutes = GENERATE(true, false);
    const auto read = GossipCodec::decodeState(GossipCodec::encode(state, sent), received);
    REQUIRE(read.has_value());
    CHECK(read->configuration == state.configuration);
}

TEST_CASE("an entry that an earlier build took for a server names none", "[stream][gossipcodec][odd]")
{
    // Guards against entries of another writer that reach an instance through a peer: the number 0 addresses any server, and without a
    // start time nothing shows which process the entry describes.
    PeerState state { .sender = record("entry-1"), .view = view(sent) };
    StreamServer odd = RouterFixture::server(2);
    SECTION("without a number")
    {
        odd.number = 0;
    }
    SECTION("without a start time")
    {
        odd.startedAt = 0;
    }
    state.changes = { { .listed = RouterFixture::server(1), .unlisted = {}, .fault = {}, .position = { 0, 5 } },
        { .listed = odd, .unlisted = {}, .fault = {}, .position = { 0, 5 } },
        { .listed = {}, .unlisted = "i-3", .fault = {}, .position = { 0, 5 } } };
    const auto read = GossipCodec::decodeState(GossipCodec::encode(state, sent), received);
    REQUIRE(read.has_value());
    REQUIRE(read->changes.size() == 2);
    CHECK(read->changes[0].listed == RouterFixture::server(1));
    CHECK(read->changes[1].unlisted == "i-3");
}

TEST_CASE("a state without the fields of this build is read", "[stream][gossipcodec]")
{
    // The bytes were encoded by the build of 2026-12-06 that had no limits of services. Guards against a rolling update in which no
    // instance that was updated reads the state of one that was not.
    const std::string hexadecimal = "99a096a7656e7472792d31a161cf00000a0000011e280506c39900000000260000ceffffffffceffffffff009072cd3a989194"
                                    "a3722d31cf0000c612000101bbc29192a4706f6e640190";
    std::string bytes;
    for (std::size_t index = 0; index < hexadecimal.size(); index += 2) {
        bytes.push_back(static_cast<char>(std::stoi(hexadecimal.substr(index, 2), nullptr, 16)));
    }
    const auto read = GossipCodec::decodeState(bytes, received);
    REQUIRE(read.has_value());
    CHECK(read->configuration == RouterFixture::configuration(38));
}

TEST_CASE("evacuations are part of messages and states, with their remaining times", "[stream][gossipcodec][evacuation]")
{
    GossipMessage sentMessage = message();
    sentMessage.view.evacuationsPosition = { 2, 50 };
    sentMessage.view.evacuationsConfirmedAt = sent - milliseconds(700);
    sentMessage.evacuations = { { 1, 90 }, 2, { { "oslo-a", { 2, 44 } }, { "oslo-b", { 1, 80 }, sent + milliseconds(2500) } } };
    EvacuationSet expected = sentMessage.evacuations;
    expected.evacuations[1].until = received + milliseconds(2500);
    const auto read = GossipCodec::decodeMessage(GossipCodec::encode(sentMessage, sent), received);
    REQUIRE(read.has_value());
    CHECK(read->view.evacuationsPosition == StorePosition(2, 50));
    CHECK(read->view.evacuationsConfirmedAt == received - milliseconds(700));
    CHECK(read->evacuations == expected);
    PeerState state { .sender = record("entry-1"), .view = sentMessage.view, .evacuations = sentMessage.evacuations };
    const auto readState = GossipCodec::decodeState(GossipCodec::encode(state, sent), received);
    REQUIRE(readState.has_value());
    CHECK(readState->evacuations == expected);
}

TEST_CASE("instances of an earlier build and those without evacuations understand each other", "[stream][gossipcodec][evacuation]")
{
    // An earlier build sends and accepts exactly 8 fields in a message and 9 in a state; a msgpack array begins with 0x90 + its size.
    GossipMessage plain = message();
    plain.load = {};
    const std::string bytes = GossipCodec::encode(plain, sent);
    CHECK(bytes.front() == '\x98');
    const auto read = GossipCodec::decodeMessage(bytes, received);
    REQUIRE(read.has_value());
    CHECK(read->view.evacuationsPosition.isUnset());
    CHECK(read->evacuations == EvacuationSet());
    const std::string stateBytes = GossipCodec::encode(PeerState { .sender = record("entry-1"), .view = view(sent) }, sent);
    CHECK(stateBytes.front() == '\x99');
    CHECK(GossipCodec::decodeState(stateBytes, received).has_value());
}
