#include "daemon/expositionwriter.h"
#include "loadreport/loadexchange.h"
#include "peer/framecodec.h"
#include "stream/peersynchronizer.h"
#include "stream/routerfixture.h"
#include "stream/streamlimits.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
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
        , loads({ clock, router.admission() })
    {
        PeerRecord self { .id = "entry-" + std::to_string(number),
            .failureDomain = "a",
            .address = announced.isUnset() ? addressOf(number) : announced,
            .startedAt = 1 };
        synchronizer = std::move(PeerSynchronizer::create(context.get_executor(), { clock, random, events, router, &loads },
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
    LoadExchange loads;
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
        message.view = { .serversPosition = { 0, 2 }, .serversConfirmedAt = now };
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

/** One instance by a clock that the test advances, and a peer whose messages the test sends. */
class ControlledFixture
{
public:
    /** Gives the instance a configuration and the list of servers at revision 10. */
    void makeReady()
    {
        node.router.applyConfiguration(RouterFixture::configuration(4));
        node.router.confirmConfiguration({ 0, 4 }, clock.now());
        node.router.replaceServers({ RouterFixture::server(1) }, {}, { 0, 10 }, clock.now());
        advance(milliseconds(10));
        context.run_for(milliseconds(5)); // the instance waits for messages
    }

    /** Advances the clock in steps in which the instance runs. */
    void advance(milliseconds time)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end;) {
            clock.advance(std::min<std::chrono::nanoseconds>(milliseconds(100), end - clock.now()));
            node.router.tick();
        }
    }

    /** Returns a view of the configuration of makeReady() and of the servers at a revision. */
    static ViewStatus viewAt(std::uint64_t serversRevision, TimePoint confirmedAt)
    {
        const StreamConfiguration configuration = RouterFixture::configuration(4);
        ViewStatus view;
        view.serversPosition = { 0, serversRevision };
        view.configurationVersion = configuration.version;
        view.configurationPosition = configuration.position;
        view.configurationCheckedPosition = configuration.position;
        view.serversConfirmedAt = confirmedAt;
        view.configurationConfirmedAt = confirmedAt;
        return view;
    }

    /** Returns an id that ranks before the instance, or after it. */
    std::string idRankedFirst(bool first, const std::string &prefix = "entry-") const
    {
        for (int number = 100;; ++number) {
            PeerDirectory directory(node.synchronizer->directory().self());
            directory.merge({ .id = prefix + std::to_string(number), .address = peer.address, .startedAt = 1 }, clock.now());
            if (directory.isReader(clock.now()) != first) {
                return prefix + std::to_string(number);
            }
        }
    }

    void sendFrom(PeerRecord &sender, GossipMessage message)
    {
        ++sender.heartbeat;
        message.deployment = "dewnet";
        message.sender = sender;
        const Endpoint to = Node::addressOf(0);
        const std::string bytes = GossipCodec::encode(message, clock.now());
        m_socket.send_to(asio::buffer(bytes), { asio::ip::address_v4(to.address()), to.port() });
    }

    /** Runs the instance until @p done returns true or the time limit has passed. @return whether @p done returned true */
    bool runUntil(const std::function<bool()> &done)
    {
        const TimePoint limit = m_systemClock.now() + waitLimit;
        bool isDone = done();
        while (!isDone && m_systemClock.now() < limit) {
            context.run_one_for(milliseconds(5));
            isDone = done();
        }
        return isDone;
    }

    asio::io_context context;
    ManualClock clock;
    Node node { context, clock, 0, {}, "dewnet" };
    PeerRecord peer { .id = "entry-9", .failureDomain = "a", .address = Node::addressOf(9), .startedAt = 1 };

private:
    SteadyClock m_systemClock;
    asio::ip::udp::socket m_socket { context, asio::ip::udp::v4() };
};

ServerUpdate listed(StreamServer server, std::uint64_t revision)
{
    server.position = { 0, revision };
    ServerUpdate update;
    update.listed = server;
    update.position = { 0, revision };
    return update;
}

} // namespace

TEST_CASE_METHOD(SynchronizerFixture, "an instance that starts during an outage of the store serves with the state of a peer",
    "[stream][peersynchronizer]")
{
    // Guards against a failure domain that serves nothing because its instances restarted during an outage of the store.
    Node &first = add({});
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, { 0, 10 }, clock.now());
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
    source.router.confirmConfiguration({ 0, 4 }, clock.now());
    source.router.replaceServers({ RouterFixture::server(1) }, {}, { 0, 10 }, clock.now());
    source.synchronizer->publishConfiguration();
    source.synchronizer->publishServerUpdates(0, { {}, { 0, 10 } });
    REQUIRE(runUntil(all([](const Node &node) { return node.router.isReady(); })));

    const ServerUpdates updates { { listed(RouterFixture::server(2), 11) }, { 0, 11 } };
    source.router.applyServerUpdates(updates, clock.now());
    source.synchronizer->publishServerUpdates(10, updates);
    REQUIRE(runUntil(all([](const Node &node) { return node.router.viewStatus().serversPosition.revision() == 11; })));
    CHECK(std::all_of(nodes.begin(), nodes.end(), [](const Node &node) { return node.router.directory().listed("pond").size() == 2; }));
}

TEST_CASE_METHOD(SynchronizerFixture, "the load report of an instance reaches others with gossip", "[stream][peersynchronizer]")
{
    Node &first = add({});
    const Node &second = add({ Node::addressOf(0) });
    first.loads.reporter().recordResponse("orders", 7, milliseconds(20), clock.now());
    REQUIRE(runUntil([&] { return second.loads.reports().count(clock.now()) == 1; }));
    CHECK(first.loads.reports().count(clock.now()) == 0); // the second instance has seen no response
}

TEST_CASE_METHOD(SynchronizerFixture, "changes that don't fit a datagram are pulled as a state", "[stream][peersynchronizer][odd]")
{
    // Guards against a datagram that is cut off and refused by all instances, which then hear of no change and no confirmation.
    Node &first = add({});
    Node &second = add({ Node::addressOf(0) });
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, { 0, 10 }, clock.now());
    REQUIRE(runUntil([&] { return second.router.isReady(); }));
    ServerUpdates updates { {}, { 0, 11 } };
    for (std::uint64_t number = 2; number < 2 + GossipCodec::maxChanges; ++number) {
        StreamServer server = RouterFixture::server(number);
        server.failureDomain = std::string(StreamLimits::maxNameSize, 'a');
        updates.updates.push_back(listed(server, 11));
    }
    first.router.applyServerUpdates(updates, clock.now());
    first.synchronizer->publishServerUpdates(10, updates);
    REQUIRE(runUntil([&] { return second.router.viewStatus().serversPosition.revision() == 11; }));
    CHECK(second.router.directory().listed("pond").size() == 1 + GossipCodec::maxChanges);
    CHECK(second.events.count("peer_news_refused") == 0);
}

TEST_CASE_METHOD(SynchronizerFixture, "changes whose push was lost are repaired by gossip", "[stream][peersynchronizer]")
{
    Node &first = add({});
    Node &second = add({ Node::addressOf(0) });
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, { 0, 10 }, clock.now());
    REQUIRE(runUntil([&] { return second.router.isReady(); }));
    // The router is changed without a call to the synchronizer, so nothing is pushed.
    first.router.applyServerUpdates({ { listed(RouterFixture::server(2), 12) }, { 0, 12 } }, clock.now());
    first.router.applyConfiguration(RouterFixture::configuration(13));
    REQUIRE(runUntil([&] {
        return second.router.viewStatus().serversPosition.revision() == 12 && second.router.configuration().position.revision() == 13;
    }));
}

TEST_CASE_METHOD(
    SynchronizerFixture, "a reader that pushes older changes than it knows leaves no gap at other instances", "[stream][peersynchronizer]")
{
    // Guards against resets of open flows: instances missed the return of an entry that had expired, and took its server for ended.
    Node &first = add({});
    Node &second = add({ Node::addressOf(0) });
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, { 0, 10 }, clock.now());
    REQUIRE(runUntil([&] { return second.router.isReady() && first.synchronizer->directory().ranking(clock.now()).size() == 2; }));
    Node &source = reader();
    Node &receiver = &source == &first ? second : first;
    // Two instances read the store at the same time. The source knows revision 12 from the other one when its own call returns revision 11.
    source.router.applyServerUpdates(
        { { listed(RouterFixture::server(2), 11), listed(RouterFixture::server(3), 12) }, { 0, 12 } }, clock.now());
    source.synchronizer->publishServerUpdates(10, { { listed(RouterFixture::server(2), 11) }, { 0, 11 } });
    REQUIRE(runUntil([&] { return receiver.router.viewStatus().serversPosition.revision() == 12; }));
    CHECK(receiver.router.directory().listed("pond").size() == 3);
}

TEST_CASE_METHOD(ControlledFixture, "messages that waited while the process was stopped don't confirm a view at the time of reading",
    "[stream][peersynchronizer]")
{
    // Guards against resets of open flows: after a stop, removed entries of servers that had come back meanwhile counted as confirmed.
    makeReady();
    advance(milliseconds(100));
    const TimePoint stoppedAt = clock.now();
    for (int count = 0; count < 3; ++count) {
        sendFrom(peer, { .view = viewAt(10, stoppedAt) });
    }
    clock.advance(std::chrono::seconds(4));
    runUntil([this] { return node.synchronizer->directory().aliveCount(clock.now()) == 2; });
    node.router.tick();
    context.run_for(milliseconds(20));
    CHECK(node.router.viewStatus().serversConfirmedAt <= stoppedAt);
}

TEST_CASE_METHOD(
    ControlledFixture, "a state that took seconds to arrive doesn't confirm a view at the time of arrival", "[stream][peersynchronizer]")
{
    // Guards against resets of open flows: an entry that had come back during the transfer counted as missing all that time.
    makeReady();
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4(peer.address.address()), peer.address.port() });
    acceptor.non_blocking(true);
    asio::ip::tcp::socket connection(context);
    const TimePoint requestedAt = clock.now();
    sendFrom(peer, { .view = viewAt(12, requestedAt) });
    REQUIRE(runUntil([&] {
        std::error_code error;
        acceptor.accept(connection, error);
        return !error;
    }));
    PeerState state { .deployment = "dewnet", .sender = peer, .view = viewAt(12, requestedAt) };
    state.changes = { listed(RouterFixture::server(1), 12) };
    const std::string frame = FrameCodec::encode(GossipCodec::encode(state, requestedAt)).value();
    for (int step = 0; step < 20; ++step) {
        advance(milliseconds(100));
    }
    asio::write(connection, asio::buffer(frame));
    REQUIRE(runUntil([this] { return node.router.viewStatus().serversPosition.revision() == 12; }));
    CHECK(node.router.viewStatus().serversConfirmedAt <= requestedAt);
}

TEST_CASE_METHOD(ControlledFixture, "an instance that waits for a state keeps the reader while messages show that it reads",
    "[stream][peersynchronizer]")
{
    // Guards against instances that all become readers while a large configuration spreads over slow links.
    makeReady();
    peer.id = idRankedFirst(true);
    const TimePoint begun = clock.now();
    bool isReading = true;
    const auto run = [&] {
        for (int step = 0; step < 8; ++step) {
            GossipMessage message { .view = viewAt(10, isReading ? clock.now() : begun) };
            message.view.configurationVersion = 99; // this instance can't fetch it
            message.view.configurationPosition = { 0, 50 };
            sendFrom(peer, message);
            context.run_for(milliseconds(60)); // at least one check of the reader
            advance(milliseconds(400));
        }
    };
    SECTION("the reader reads")
    {
        run();
        CHECK(node.events.count("reader_passed_over") == 0);
    }
    SECTION("the reader sends messages but no longer reads")
    {
        isReading = false;
        run();
        CHECK(node.events.count("reader_passed_over") > 0);
    }
}

TEST_CASE_METHOD(
    ControlledFixture, "changes of servers are passed on by an instance that lacks the configuration", "[stream][peersynchronizer]")
{
    // Guards against drains that reach instances late because one between them and the reader waits for a large configuration.
    makeReady();
    peer.id = idRankedFirst(false);
    PeerRecord child { .id = idRankedFirst(false, "child-"), .failureDomain = "a", .address = Node::addressOf(8), .startedAt = 1 };
    asio::ip::udp::socket socket(context, { asio::ip::address_v4(child.address.address()), child.address.port() });
    socket.non_blocking(true);
    GossipMessage message { .view = viewAt(11, clock.now()) };
    message.view.configurationVersion = 99;
    message.view.configurationPosition = { 0, 50 };
    message.pushed = true;
    message.baseRevision = 10;
    message.changes = { listed(RouterFixture::server(2), 11) };
    message.records = { child };
    sendFrom(peer, message);
    const bool passedOn = runUntil([&] {
        std::array<char, 2048> buffer {};
        std::error_code error;
        const std::size_t size = socket.receive(asio::buffer(buffer), 0, error);
        const Result<GossipMessage> received = GossipCodec::decodeMessage({ buffer.data(), error ? 0 : size }, clock.now());
        return received && received->changes.size() == 1;
    });
    CHECK(passedOn);
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
    second.router.replaceServers({ RouterFixture::server(1) }, {}, { 0, 10 }, clock.now());
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
    first.router.replaceServers({ RouterFixture::server(1) }, {}, { 0, 10 }, clock.now());
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
    first.router.replaceServers(servers, {}, { 0, 10 }, clock.now());
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
    first.router.replaceServers({ RouterFixture::server(1) }, {}, { 0, 10 }, clock.now());
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

TEST_CASE_METHOD(SynchronizerFixture, "an instance that has read the returned store is followed, whoever has the higher revisions",
    "[stream][peersynchronizer][era]")
{
    // Guards against a view that goes back: an instance that was frozen while the store returned has the higher revisions of before.
    Node &slept = add({});
    Node &current = add({ Node::addressOf(0) });
    slept.router.applyConfiguration(RouterFixture::configuration(50));
    StreamServer ended = RouterFixture::server(1);
    ended.position = { 0, 55 };
    slept.router.replaceServers({ ended }, {}, { 0, 60 }, clock.now());
    slept.router.confirmConfiguration({ 0, 60 }, clock.now());
    REQUIRE(runUntil([&] { return current.router.isReady(); }));
    StreamServer added = RouterFixture::server(2);
    added.position = { 1, 19 };
    current.router.replaceServers({ added }, {}, { 1, 20 }, clock.now());
    StreamConfiguration written = RouterFixture::configuration(50);
    written.version += 1;
    written.position = { 1, 18 };
    written.routes.begin()->second.targets = { { "tile", 1 } };
    current.router.applyConfiguration(written);
    current.router.confirmConfiguration({ 1, 20 }, clock.now());
    REQUIRE(runUntil([&] { return slept.router.viewStatus().serversPosition == StorePosition(1, 20); }));
    REQUIRE(runUntil([&] { return slept.router.configuration() == written; }));
    CHECK(slept.router.directory().findId("i-2") != nullptr);
    CHECK_FALSE(slept.router.directory().findId("i-1")->listed);
    CHECK(current.router.configuration() == written);
    CHECK(current.router.viewStatus().serversPosition == StorePosition(1, 20));
    CHECK_FALSE(current.router.directory().findId("i-1")->listed);
}

TEST_CASE_METHOD(SynchronizerFixture, "the newer version of the configuration wins between instances, whichever store it is from",
    "[stream][peersynchronizer][era]")
{
    // Guards against a starting instance that spreads the older version that the returned store still holds.
    Node &running = add({});
    Node &started = add({ Node::addressOf(0) });
    StreamConfiguration newest = RouterFixture::configuration(50);
    newest.routes.begin()->second.targets = { { "tile", 1 } };
    running.router.applyConfiguration(newest);
    running.router.replaceServers({ RouterFixture::server(1) }, {}, { 0, 60 }, clock.now());
    StreamConfiguration older = RouterFixture::configuration(40);
    older.position = { 1, 18 };
    started.router.applyConfiguration(older);
    started.router.replaceServers({ RouterFixture::server(1) }, {}, { 1, 20 }, clock.now());
    REQUIRE(runUntil([&] { return running.router.viewStatus().serversPosition.era() == 1; }));
    REQUIRE(runUntil([&] { return started.router.configuration().version == newest.version; }));
    CHECK(running.router.configuration() == newest);
    CHECK(started.router.configuration() == newest);
}

TEST_CASE_METHOD(
    SynchronizerFixture, "changes of the returned store reach instances that follow it as changes", "[stream][peersynchronizer][era]")
{
    // Guards against complete lists for each change, and against changes that are applied on top of a view from before the return.
    Node &first = add({});
    Node &second = add({ Node::addressOf(0) });
    first.router.applyConfiguration(RouterFixture::configuration(4));
    StreamServer copied = RouterFixture::server(1);
    copied.position = { 1, 5 };
    first.router.replaceServers({ copied }, {}, { 1, 20 }, clock.now());
    REQUIRE(runUntil([&] { return second.router.isReady(); }));
    REQUIRE(second.router.viewStatus().serversPosition == StorePosition(1, 20));
    ServerUpdate update = listed(RouterFixture::server(2), 21);
    update.position = { 1, 21 };
    update.listed->position = { 1, 21 };
    first.router.applyServerUpdates({ { update }, { 1, 21 } }, clock.now());
    first.synchronizer->publishServerUpdates(20, { { update }, { 1, 21 } });
    REQUIRE(runUntil([&] { return second.router.viewStatus().serversPosition == StorePosition(1, 21); }));
    CHECK(second.router.directory().listed("pond").size() == 2);
    CHECK(second.router.directory().findId("i-2")->server.position == StorePosition(1, 21));
}

TEST_CASE_METHOD(SynchronizerFixture, "evacuations reach all instances, also one that starts later and one that missed the message",
    "[stream][peersynchronizer]")
{
    for (std::uint32_t number = 0; number < 6; ++number) {
        add(number == 0 ? std::vector<Endpoint>() : std::vector<Endpoint> { Node::addressOf(0) }).router.evacuations().enable();
    }
    const auto all = [this](const std::function<bool(Node &)> &holds) {
        return [this, holds] { return std::all_of(nodes.begin(), nodes.end(), holds); };
    };
    const auto isEvacuated = [this](Node &node) { return node.router.evacuations().isEvacuated("b", clock.now()); };
    REQUIRE(runUntil(all([this](Node &node) { return node.synchronizer->directory().ranking(clock.now()).size() == 6; })));
    Node &source = reader();
    source.router.evacuations().replaceAll({ { "b", { 1, 20 } } }, { 1, 30 }, clock.now());
    SECTION("pushed down the tree")
    {
        source.synchronizer->publishEvacuations(true);
    }
    SECTION("repaired by gossip")
    {
    }
    REQUIRE(runUntil(all(isEvacuated)));

    // A starting instance is not ready before it knows the evacuations.
    source.router.applyConfiguration(RouterFixture::configuration(4));
    source.router.replaceServers({ RouterFixture::server(1) }, {}, { 1, 10 }, clock.now());
    Node &late = add({ source.synchronizer->directory().self().address });
    late.router.evacuations().enable();
    REQUIRE(runUntil([&] { return late.router.isReady(); }));
    CHECK(isEvacuated(late));

    source.router.evacuations().apply({ { "b", true, { 1, 31 } } }, { 1, 31 }, clock.now());
    REQUIRE(runUntil(all([&](Node &node) { return !isEvacuated(node); })));
}

TEST_CASE_METHOD(SynchronizerFixture, "more evacuations than fit a message are pulled as a state", "[stream][peersynchronizer]")
{
    Node &first = add({});
    Node &second = add({ Node::addressOf(0) });
    std::vector<Evacuation> listed;
    const std::size_t size = GENERATE(std::size_t { 4 }, StreamLimits::maxNameSize);
    for (std::size_t number = 0; number <= GossipCodec::maxEvacuations; ++number) {
        listed.push_back({ std::string(size, static_cast<char>('A' + number)), { 1, 20 } });
    }
    for (Node *const node : { &first, &second }) {
        node->router.evacuations().enable();
    }
    first.router.evacuations().replaceAll(listed, { 1, 30 }, clock.now());
    REQUIRE(runUntil([&] { return second.router.evacuations().all() == first.router.evacuations().all(); }));
    CHECK(second.events.count("peer_news_refused") == 0);
}

TEST_CASE_METHOD(
    SynchronizerFixture, "an instance with evacuations that are off takes none over and passes none on", "[stream][peersynchronizer]")
{
    Node &on = add({});
    Node &off = add({ Node::addressOf(0) });
    on.router.evacuations().enable();
    on.router.evacuations().replaceAll({ { "b", { 1, 20 } } }, { 1, 30 }, clock.now());
    on.router.applyConfiguration(RouterFixture::configuration(4));
    on.router.replaceServers({ RouterFixture::server(1) }, {}, { 0, 10 }, clock.now());
    REQUIRE(runUntil([&] { return off.router.isReady(); }));
    CHECK(off.router.evacuations().isEmpty());
    CHECK(off.router.viewStatus().evacuationsPosition.isUnset());
}
