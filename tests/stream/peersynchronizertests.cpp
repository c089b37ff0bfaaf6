#include "daemon/expositionwriter.h"
#include "peer/framecodec.h"
#include "stream/peersynchronizer.h"
#include "stream/routerfixture.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;

namespace
{

// Ends a test that hangs; the awaited conditions normally hold within milliseconds.
constexpr std::chrono::seconds waitLimit { 20 };

/** The synchronizer and the router of one instance, without a store. */
struct Node {
    Node(asio::io_context &context, const Clock &clock, std::uint32_t number, std::vector<Endpoint> seeds, std::string deployment,
        Endpoint announced = {})
        : random(number + 1)
        , router({ clock, random, events, selector, times }, "a", 1000)
    {
        PeerRecord self { .id = "entry-" + std::to_string(number),
            .failureDomain = "a",
            .address = announced.isUnset() ? addressOf(number) : announced,
            .startedAt = 1 };
        synchronizer = std::move(PeerSynchronizer::create(context.get_executor(), { clock, random, events, router },
            { std::move(deployment), addressOf(number), std::move(seeds) }, std::move(self))
                                     .value());
        asio::co_spawn(context, synchronizer->receiveMessages(), asio::detached);
        asio::co_spawn(context, synchronizer->serveStates(), asio::detached);
        asio::co_spawn(context, synchronizer->runGossip(), asio::detached);
    }

    /** Returns a loopback address that no other test uses. */
    static Endpoint addressOf(std::uint32_t number)
    {
        return { 0x7f370001 + number, 7720 };
    }

    SeededRandom random;
    EventCollector events;
    TimeCollector times;
    LeastFlowsSelector selector;
    StreamRouter router;
    std::unique_ptr<PeerSynchronizer> synchronizer;
};

/** A peer that accepts connections and sends no state. */
struct SilentPeer {
    SilentPeer(asio::io_context &context, std::uint32_t number)
        : record { .id = "entry-" + std::to_string(number), .failureDomain = "a", .address = Node::addressOf(number), .startedAt = 1 }
        , acceptor(context, { asio::ip::address_v4(record.address.address()), record.address.port() })
        , socket(context, asio::ip::udp::v4())
    {
    }

    /** Sends a message whose view is newer than that of a starting instance. */
    void sendNewerView(Endpoint to, TimePoint now)
    {
        GossipMessage message { .deployment = "dewnet", .sender = record };
        message.view = { .serversRevision = 2, .serversConfirmedAt = now };
        const std::string bytes = GossipCodec::encode(message, now);
        socket.send_to(asio::buffer(bytes), { asio::ip::address_v4(to.address()), to.port() });
    }

    PeerRecord record;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::udp::socket socket;
};

class SynchronizerFixture
{
public:
    Node &add(std::vector<Endpoint> seeds, std::string deployment = "dewnet")
    {
        return nodes.emplace_back(context, clock, static_cast<std::uint32_t>(nodes.size()), std::move(seeds), std::move(deployment));
    }

    /** Runs the nodes until @p done returns true or the time limit has passed. @return the last result of @p done */
    bool runUntil(const std::function<bool()> &done)
    {
        const TimePoint limit = clock.now() + waitLimit;
        while (!done() && clock.now() < limit) {
            context.run_one_for(milliseconds(5));
        }
        return done();
    }

    Node &reader()
    {
        for (Node &node : nodes) {
            if (node.synchronizer->watchesStore()) {
                return node;
            }
        }
        return nodes.front();
    }

    asio::io_context context;
    SteadyClock clock;
    std::deque<Node> nodes;
};

ServerUpdate listed(StreamServer server, std::uint64_t revision)
{
    server.revision = revision;
    ServerUpdate update;
    update.listed = server;
    update.revision = revision;
    return update;
}

} // namespace

TEST_CASE_METHOD(SynchronizerFixture, "an instance that starts during an outage of the store serves with the state of a peer",
    "[stream][peersynchronizer]")
{
    // Guards against a failure domain that serves nothing because its instances restarted during an outage of the store.
    Node &first = add({});
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    Node &second = add({ Node::addressOf(0) });
    REQUIRE(runUntil([&] { return second.router.isReady(); }));
    CHECK(second.router.configuration() == first.router.configuration());
    CHECK(second.router.directory().listed("pond").size() == 1);
    CHECK(second.router.viewStatus().serversConfirmedAt != TimePoint());
}

TEST_CASE_METHOD(SynchronizerFixture, "what the reader reads from the store reaches all instances", "[stream][peersynchronizer]")
{
    for (std::uint32_t number = 0; number < 8; ++number) {
        add(number == 0 ? std::vector<Endpoint>() : std::vector<Endpoint> { Node::addressOf(0) });
    }
    const auto all = [this](const std::function<bool(const Node &)> &holds) {
        return [this, holds] { return std::all_of(nodes.begin(), nodes.end(), holds); };
    };
    REQUIRE(runUntil(all([this](const Node &node) { return node.synchronizer->directory().ranking(clock.now()).size() == 8; })));
    Node &source = reader();
    source.router.applyConfiguration(RouterFixture::configuration(4));
    source.router.confirmConfiguration(4, clock.now());
    source.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    source.synchronizer->publishConfiguration();
    source.synchronizer->publishServerUpdates(0, { {}, 10 });
    REQUIRE(runUntil(all([](const Node &node) { return node.router.isReady(); })));

    const ServerUpdates updates { { listed(RouterFixture::server(2), 11) }, 11 };
    source.router.applyServerUpdates(updates, clock.now());
    source.synchronizer->publishServerUpdates(10, updates);
    REQUIRE(runUntil(all([](const Node &node) { return node.router.viewStatus().serversRevision == 11; })));
    CHECK(std::all_of(nodes.begin(), nodes.end(), [](const Node &node) { return node.router.directory().listed("pond").size() == 2; }));
}

TEST_CASE_METHOD(SynchronizerFixture, "changes whose push was lost are repaired by gossip", "[stream][peersynchronizer]")
{
    Node &first = add({});
    Node &second = add({ Node::addressOf(0) });
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    REQUIRE(runUntil([&] { return second.router.isReady(); }));
    // The router is changed without a call to the synchronizer, so nothing is pushed.
    first.router.applyServerUpdates({ { listed(RouterFixture::server(2), 12) }, 12 }, clock.now());
    first.router.applyConfiguration(RouterFixture::configuration(13));
    REQUIRE(runUntil([&] { return second.router.viewStatus().serversRevision == 12 && second.router.configuration().revision == 13; }));
}

TEST_CASE_METHOD(
    SynchronizerFixture, "a reader that pushes older changes than it knows leaves no gap at other instances", "[stream][peersynchronizer]")
{
    // Guards against resets of open flows: instances missed the return of an entry that had expired, and took its server for ended.
    Node &first = add({});
    Node &second = add({ Node::addressOf(0) });
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    REQUIRE(runUntil([&] { return second.router.isReady() && first.synchronizer->directory().ranking(clock.now()).size() == 2; }));
    Node &source = reader();
    Node &receiver = &source == &first ? second : first;
    // Two instances read the store at the same time. The source knows revision 12 from the other one when its own call returns revision 11.
    source.router.applyServerUpdates({ { listed(RouterFixture::server(2), 11), listed(RouterFixture::server(3), 12) }, 12 }, clock.now());
    source.synchronizer->publishServerUpdates(10, { { listed(RouterFixture::server(2), 11) }, 11 });
    REQUIRE(runUntil([&] { return receiver.router.viewStatus().serversRevision == 12; }));
    CHECK(receiver.router.directory().listed("pond").size() == 3);
}

TEST_CASE("messages that waited while the process was stopped don't confirm a view at the time of reading", "[stream][peersynchronizer]")
{
    // Guards against resets of open flows: after a stop, removed entries of servers that had come back meanwhile counted as confirmed.
    asio::io_context context;
    ManualClock clock;
    Node node(context, clock, 0, {}, "dewnet");
    node.router.applyConfiguration(RouterFixture::configuration(4));
    node.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    node.router.tick();
    for (int step = 0; step < 10; ++step) {
        context.poll(); // the node waits for messages
    }
    clock.advance(milliseconds(100));
    node.router.tick();
    const TimePoint stoppedAt = clock.now();
    asio::ip::udp::socket peer(context, asio::ip::udp::v4());
    const Endpoint address = Node::addressOf(0);
    for (std::uint64_t heartbeat = 1; heartbeat <= 3; ++heartbeat) {
        GossipMessage message { .deployment = "dewnet",
            .sender = { .id = "entry-9", .failureDomain = "a", .address = Node::addressOf(9), .startedAt = 1, .heartbeat = heartbeat } };
        message.view = { .serversRevision = 10, .serversConfirmedAt = stoppedAt };
        const std::string bytes = GossipCodec::encode(message, stoppedAt);
        peer.send_to(asio::buffer(bytes), { asio::ip::address_v4(address.address()), address.port() });
    }
    clock.advance(std::chrono::seconds(4));
    for (int step = 0; step < 1000 && node.synchronizer->directory().aliveCount(clock.now()) < 2; ++step) {
        context.run_one_for(milliseconds(5));
    }
    node.router.tick();
    for (int step = 0; step < 20; ++step) {
        context.poll();
    }
    CHECK(node.router.viewStatus().serversConfirmedAt <= stoppedAt);
}

TEST_CASE_METHOD(SynchronizerFixture, "a slow peer doesn't hold up the state of another one", "[stream][peersynchronizer]")
{
    // Guards against a configuration that takes effect late, because an instance waits for a peer that sends it over a slow link.
    constexpr std::size_t bodySize = 1000000; // bytes
    SilentPeer slow(context, 20);
    Node &node = add({});
    slow.sendNewerView(Node::addressOf(0), clock.now());
    asio::ip::tcp::socket connection(context);
    bool isAccepted = false;
    slow.acceptor.async_accept(connection, [&isAccepted](const std::error_code &error) { isAccepted = !error; });
    REQUIRE(runUntil([&isAccepted] { return isAccepted; }));
    std::string body = FrameCodec::encode(std::string(bodySize, 'x')).value();
    connection.non_blocking(true);
    std::size_t sent = 0;
    TimePoint nextPart {}; // slower than the whole body may take, but always with progress
    Node &second = add({ Node::addressOf(0) });
    second.router.applyConfiguration(RouterFixture::configuration(4));
    second.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    CHECK(runUntil([&] {
        if (clock.now() >= nextPart) {
            nextPart = clock.now() + milliseconds(100);
            std::error_code ignored;
            sent += connection.write_some(asio::buffer(body.data() + sent, std::min<std::size_t>(16 * 1024, body.size() - sent)), ignored);
        }
        return node.router.isReady();
    }));
    CHECK(node.events.count("peer_pull_failed") == 0);
    CHECK(sent < body.size());
}

TEST_CASE_METHOD(
    SynchronizerFixture, "a starting instance that waits for its seed doesn't pull from each newer sender", "[stream][peersynchronizer]")
{
    // Guards against a start that fetches the same large state from many instances at once.
    const SilentPeer seed(context, 20);
    std::deque<SilentPeer> others;
    Node &node = add({ Node::addressOf(20) });
    for (std::uint32_t number = 21; number < 26; ++number) {
        others.emplace_back(context, number).sendNewerView(Node::addressOf(0), clock.now());
    }
    REQUIRE(runUntil([&] { return node.synchronizer->directory().aliveCount(clock.now()) == 6; }));
    ExpositionWriter writer;
    node.synchronizer->writeMetrics(writer);
    CHECK(writer.text().find("samphirepitch_peer_pulls_total 2\n") != std::string::npos);
}

TEST_CASE_METHOD(SynchronizerFixture, "the report that a server has ended reaches the other instances", "[stream][peersynchronizer]")
{
    Node &first = add({});
    Node &second = add({ Node::addressOf(0) });
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    REQUIRE(runUntil([&] { return second.router.isReady() && first.synchronizer->directory().ranking(clock.now()).size() == 2; }));
    const std::uint32_t token = ServerDirectory::tokenOf(RouterFixture::server(1));
    first.router.recordProbeResult(token, ConnectResult::Refused, clock.now());
    REQUIRE(runUntil([&] { return second.router.failureDetector().isEndReported(token); }));
    CHECK(second.router.failureDetector().status(token, clock.now()) == ServerStatus::Suspected);
}

TEST_CASE_METHOD(SynchronizerFixture, "all servers are reported if many of them end at once", "[stream][peersynchronizer]")
{
    // All servers of a failure domain may fail together. Guards against a fault in which ended servers that did not fit into one datagram
    // were not reported.
    constexpr std::uint64_t count = 20;
    Node &first = add({});
    Node &second = add({ Node::addressOf(0) });
    std::vector<StreamServer> servers;
    for (std::uint64_t number = 1; number <= count; ++number) {
        servers.push_back(RouterFixture::server(number));
    }
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers(servers, {}, 10, clock.now());
    REQUIRE(runUntil([&] { return second.router.isReady() && first.synchronizer->directory().ranking(clock.now()).size() == 2; }));
    for (const StreamServer &server : servers) {
        first.router.recordProbeResult(ServerDirectory::tokenOf(server), ConnectResult::Refused, clock.now());
    }
    CHECK(runUntil([&] {
        return std::all_of(servers.begin(), servers.end(),
            [&](const StreamServer &server) { return second.router.failureDetector().isEndReported(ServerDirectory::tokenOf(server)); });
    }));
}

TEST_CASE_METHOD(
    SynchronizerFixture, "an instance is known by its announced address if that differs from the bound one", "[stream][peersynchronizer]")
{
    // With network address translation, messages to the address that the instance binds would be lost.
    const Endpoint announced(0x7f370101, 7720);
    Node &first = add({});
    Node &second = nodes.emplace_back(context, clock, 1, std::vector<Endpoint> { Node::addressOf(0) }, "dewnet", announced);
    REQUIRE(runUntil([&] { return first.synchronizer->directory().ranking(clock.now()).size() == 2; }));
    const std::vector<PeerRecord> heard = first.synchronizer->directory().ranking(clock.now());
    CHECK(std::any_of(heard.begin(), heard.end(), [&](const PeerRecord &record) { return record.address == announced; }));
    CHECK(second.synchronizer->directory().self().address == announced);
}

TEST_CASE_METHOD(SynchronizerFixture, "messages of instances of other deployments are refused", "[stream][peersynchronizer]")
{
    // Guards against routes and servers of another deployment being used because of a wrong seed address.
    Node &first = add({});
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    Node &second = add({ Node::addressOf(0) }, "tugan-kun");
    REQUIRE(runUntil([&] { return first.events.count("peer_request_refused") > 0 && second.events.count("peer_pull_failed") > 0; }));
    CHECK_FALSE(second.router.isReady());
    CHECK(first.events.last("peer_request_refused").find("wrong_deployment") != std::string::npos);
}

TEST_CASE_METHOD(SynchronizerFixture, "bytes that are not a message are refused and reported", "[stream][peersynchronizer]")
{
    Node &node = add({});
    asio::ip::udp::socket stranger(context, asio::ip::udp::v4());
    const std::string bytes = "GET /v1/anything HTTP/1.1\r\n\r\n";
    const Endpoint address = Node::addressOf(0);
    stranger.send_to(asio::buffer(bytes), { asio::ip::address_v4(address.address()), address.port() });
    REQUIRE(runUntil([&] { return node.events.count("peer_news_refused") == 1; }));
    asio::ip::tcp::socket caller(context);
    caller.connect({ asio::ip::address_v4(address.address()), address.port() });
    asio::write(caller, asio::buffer(bytes));
    REQUIRE(runUntil([&] { return node.events.count("peer_request_refused") == 1; }));
}
