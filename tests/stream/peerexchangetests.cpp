#include "stream/peerexchange.h"
#include "stream/routerfixture.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <functional>

using namespace Samphirepitch;
using namespace Samphirepitch::Tests;

using std::chrono::milliseconds;

namespace
{

// Only a bound against a test that hangs; the awaited states come within milliseconds.
constexpr std::chrono::seconds patience { 20 };

/** One instance's exchange and router, without a store. */
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
        exchange = std::move(PeerExchange::create(context.get_executor(), { clock, random, events, router },
            { std::move(deployment), addressOf(number), std::move(seeds) }, std::move(self))
                                 .value());
        asio::co_spawn(context, exchange->receiveNews(), asio::detached);
        asio::co_spawn(context, exchange->serveStates(), asio::detached);
        asio::co_spawn(context, exchange->gossip(), asio::detached);
    }

    /** Loopback addresses that no other test uses. */
    static Endpoint addressOf(std::uint32_t number)
    {
        return { 0x7f370001 + number, 7720 };
    }

    SeededRandom random;
    EventCollector events;
    TimeCollector times;
    LeastFlowsSelector selector;
    StreamRouter router;
    std::unique_ptr<PeerExchange> exchange;
};

class ExchangeFixture
{
public:
    Node &add(std::vector<Endpoint> seeds, std::string deployment = "dewnet")
    {
        return nodes.emplace_back(context, clock, static_cast<std::uint32_t>(nodes.size()), std::move(seeds), std::move(deployment));
    }

    /** Runs the nodes until @p done holds. @return whether it came to hold */
    bool reach(const std::function<bool()> &done)
    {
        const TimePoint limit = clock.now() + patience;
        while (!done() && clock.now() < limit) {
            context.run_one_for(milliseconds(5));
        }
        return done();
    }

    Node &reader()
    {
        for (Node &node : nodes) {
            if (node.exchange->followsStore()) {
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

TEST_CASE_METHOD(ExchangeFixture, "an instance that starts while the store is away serves from its peers", "[stream][peerexchange]")
{
    // Guards against a domain without service when its instances restart during an outage of the store.
    Node &first = add({});
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    Node &second = add({ Node::addressOf(0) });
    REQUIRE(reach([&] { return second.router.isReady(); }));
    CHECK(second.router.configuration() == first.router.configuration());
    CHECK(second.router.directory().listed("pond").size() == 1);
    CHECK(second.router.viewMark().serversConfirmed != TimePoint());
}

TEST_CASE_METHOD(ExchangeFixture, "what the reader reads reaches all instances", "[stream][peerexchange]")
{
    for (std::uint32_t number = 0; number < 8; ++number) {
        add(number == 0 ? std::vector<Endpoint>() : std::vector<Endpoint> { Node::addressOf(0) });
    }
    const auto all = [this](const std::function<bool(const Node &)> &holds) {
        return [this, holds] { return std::all_of(nodes.begin(), nodes.end(), holds); };
    };
    REQUIRE(reach(all([this](const Node &node) { return node.exchange->directory().order(clock.now()).size() == 8; })));
    Node &source = reader();
    source.router.applyConfiguration(RouterFixture::configuration(4));
    source.router.confirmConfiguration(4, clock.now());
    source.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    source.exchange->configurationRead();
    source.exchange->serversRead(0, { {}, 10 });
    REQUIRE(reach(all([](const Node &node) { return node.router.isReady(); })));

    const ServerUpdates updates { { listed(RouterFixture::server(2), 11) }, 11 };
    source.router.applyServerUpdates(updates, clock.now());
    source.exchange->serversRead(10, updates);
    REQUIRE(reach(all([](const Node &node) { return node.router.viewMark().serversRevision == 11; })));
    CHECK(std::all_of(nodes.begin(), nodes.end(), [](const Node &node) { return node.router.directory().listed("pond").size() == 2; }));
}

TEST_CASE_METHOD(ExchangeFixture, "lost news are repaired by gossip", "[stream][peerexchange]")
{
    Node &first = add({});
    Node &second = add({ Node::addressOf(0) });
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    REQUIRE(reach([&] { return second.router.isReady(); }));
    // Nothing is pushed for this change.
    first.router.applyServerUpdates({ { listed(RouterFixture::server(2), 12) }, 12 }, clock.now());
    first.router.applyConfiguration(RouterFixture::configuration(13));
    REQUIRE(reach([&] { return second.router.viewMark().serversRevision == 12 && second.router.configuration().revision == 13; }));
}

TEST_CASE_METHOD(ExchangeFixture, "the proof that a server ended reaches the other instances", "[stream][peerexchange]")
{
    Node &first = add({});
    Node &second = add({ Node::addressOf(0) });
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    REQUIRE(reach([&] { return second.router.isReady() && first.exchange->directory().order(clock.now()).size() == 2; }));
    const std::uint32_t token = ServerDirectory::tokenOf(RouterFixture::server(1));
    first.router.recordProbeResult(token, ConnectResult::Refused, clock.now());
    REQUIRE(reach([&] { return second.router.failureDetector().isEndReported(token); }));
    CHECK(second.router.failureDetector().status(token, clock.now()) == ServerStatus::Suspected);
}

TEST_CASE_METHOD(ExchangeFixture, "all of many servers that end at once are reported", "[stream][peerexchange]")
{
    // A domain of servers may lose power; what did not fit into one datagram was lost.
    constexpr std::uint64_t count = 20;
    Node &first = add({});
    Node &second = add({ Node::addressOf(0) });
    std::vector<StreamServer> servers;
    for (std::uint64_t number = 1; number <= count; ++number) {
        servers.push_back(RouterFixture::server(number));
    }
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers(servers, {}, 10, clock.now());
    REQUIRE(reach([&] { return second.router.isReady() && first.exchange->directory().order(clock.now()).size() == 2; }));
    for (const StreamServer &server : servers) {
        first.router.recordProbeResult(ServerDirectory::tokenOf(server), ConnectResult::Refused, clock.now());
    }
    CHECK(reach([&] {
        return std::all_of(servers.begin(), servers.end(),
            [&](const StreamServer &server) { return second.router.failureDetector().isEndReported(ServerDirectory::tokenOf(server)); });
    }));
}

TEST_CASE_METHOD(ExchangeFixture, "an instance behind another address is known by the one that it announces", "[stream][peerexchange]")
{
    // Answers instances behind a translated address: news to the address that they bind would be lost.
    const Endpoint announced(0x7f370101, 7720);
    Node &first = add({});
    Node &second = nodes.emplace_back(context, clock, 1, std::vector<Endpoint> { Node::addressOf(0) }, "dewnet", announced);
    REQUIRE(reach([&] { return first.exchange->directory().order(clock.now()).size() == 2; }));
    const std::vector<PeerRecord> heard = first.exchange->directory().order(clock.now());
    CHECK(std::any_of(heard.begin(), heard.end(), [&](const PeerRecord &record) { return record.address == announced; }));
    CHECK(second.exchange->directory().self().address == announced);
}

TEST_CASE_METHOD(ExchangeFixture, "instances of other deployments are refused", "[stream][peerexchange]")
{
    // A wrong seed must not bring another deployment's routes and servers.
    Node &first = add({});
    first.router.applyConfiguration(RouterFixture::configuration(4));
    first.router.replaceServers({ RouterFixture::server(1) }, {}, 10, clock.now());
    Node &second = add({ Node::addressOf(0) }, "tugan-kun");
    REQUIRE(reach([&] { return first.events.count("peer_request_refused") > 0 && second.events.count("peer_pull_failed") > 0; }));
    CHECK_FALSE(second.router.isReady());
    CHECK(first.events.last("peer_request_refused").find("wrong_deployment") != std::string::npos);
}

TEST_CASE_METHOD(ExchangeFixture, "bytes of strangers are refused and counted", "[stream][peerexchange]")
{
    Node &node = add({});
    asio::ip::udp::socket stranger(context, asio::ip::udp::v4());
    const std::string bytes = "GET /v1/anything HTTP/1.1\r\n\r\n";
    const Endpoint address = Node::addressOf(0);
    stranger.send_to(asio::buffer(bytes), { asio::ip::address_v4(address.address()), address.port() });
    REQUIRE(reach([&] { return node.events.count("peer_news_refused") == 1; }));
    asio::ip::tcp::socket caller(context);
    caller.connect({ asio::ip::address_v4(address.address()), address.port() });
    asio::write(caller, asio::buffer(bytes));
    REQUIRE(reach([&] { return node.events.count("peer_request_refused") == 1; }));
}
