#include "fakes/await.h"
#include "objectstore/internal/socketdeadline.h"
#include "peer/framecodec.h"
#include "stream/peerstatetransfer.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>

using namespace Samphirepitch;

using std::chrono::milliseconds;

namespace
{

// Loopback addresses that no other test uses; nothing listens at the second one.
constexpr Endpoint servingAddress { 0x7f390001, 7720 };
constexpr Endpoint unusedAddress { 0x7f390002, 7720 };

// Ends a test that hangs; the awaited states normally arrive within milliseconds.
constexpr std::chrono::seconds waitLimit { 20 };

/** Returns the same state for all requests, and records requests and failures. */
class FixedSource : public PeerStateSource
{
public:
    PeerState stateFor(const GossipMessage &request) override
    {
        asked.push_back(request.sender.id);
        PeerState state { .deployment = "dewnet", .sender = { .id = "entry-1" }, .view = { .serversPosition = { 0, 7 } } };
        for (std::uint32_t number = 0; number < routeCount; ++number) {
            const Endpoint address(0xc6120000 + number, 443);
            state.configuration.routes.emplace(address, StreamRoute { "r-" + std::to_string(number), address, { { "pond", 1 } } });
        }
        return state;
    }

    void reportFailure(std::string_view event, const std::string &, const Error &error) override
    {
        failures.push_back(std::string(event) + ' ' + std::string(errorKindName(error.kind())));
    }

    std::uint32_t routeCount = 0; // of the configuration in the returned states
    std::vector<std::string> asked;
    std::vector<std::string> failures;
};

/** Stalls its second caller for longer than a transfer may take without progress: a fetch that encodes its request. */
class StallingClock : public SteadyClock
{
public:
    TimePoint now() const override
    {
        const bool mustStall = ++m_calls == 2;
        const TimePoint end = SteadyClock::now() + milliseconds(450);
        while (mustStall && SteadyClock::now() < end) { }
        return SteadyClock::now();
    }

private:
    mutable int m_calls = 0;
};

class TransferFixture
{
public:
    TransferFixture()
    {
        REQUIRE(transfer.bind(servingAddress));
        asio::co_spawn(context, transfer.serve(), asio::detached);
    }

    Result<PeerState> fetchAs(const std::string &deployment, Endpoint from)
    {
        PeerStateTransfer asking(context.get_executor(), clock, deployment, ignored);
        std::optional<Result<PeerState>> state;
        asio::co_spawn(context, Tests::storeResult(asking.fetch(from, { .deployment = deployment, .sender = { .id = "entry-2" } }), state),
            [](const std::exception_ptr &) {});
        runUntil([&state] { return state.has_value(); });
        return state.value();
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        const TimePoint limit = clock.now() + waitLimit;
        while (!condition() && clock.now() < limit) {
            context.run_one_for(milliseconds(5));
            if (onStep) {
                onStep();
            }
        }
    }

    SteadyClock clock;
    asio::io_context context;
    FixedSource source;
    FixedSource ignored;
    std::function<void()> onStep; // called repeatedly while the context runs; may be empty
    PeerStateTransfer transfer { context.get_executor(), clock, "dewnet", source };
};

} // namespace

TEST_CASE_METHOD(TransferFixture, "an instance fetches the state of another instance", "[stream][peerstatetransfer]")
{
    const Result<PeerState> state = fetchAs("dewnet", servingAddress);
    REQUIRE(state);
    CHECK(state->sender.id == "entry-1");
    CHECK(state->view.serversPosition == StorePosition(0, 7));
    CHECK(source.asked == std::vector<std::string> { "entry-2" });
    CHECK(source.failures.empty());
}

TEST_CASE_METHOD(
    TransferFixture, "a fetch from an address at which no instance listens fails as unavailable", "[stream][peerstatetransfer]")
{
    const Result<PeerState> state = fetchAs("dewnet", unusedAddress);
    REQUIRE_FALSE(state);
    CHECK(state.error().kind() == ErrorKind::Unavailable);
}

TEST_CASE_METHOD(TransferFixture, "refused requests for a state are reported with the reason", "[stream][peerstatetransfer]")
{
    SECTION("an instance of another deployment")
    {
        CHECK_FALSE(fetchAs("tugan-kun", servingAddress));
        CHECK(source.failures == std::vector<std::string> { "peer_request_refused wrong_deployment" });
    }
    SECTION("bytes that are not a request")
    {
        asio::ip::tcp::socket caller(context);
        caller.connect({ asio::ip::address_v4(servingAddress.address()), servingAddress.port() });
        asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        runUntil([this] { return !source.failures.empty(); });
        REQUIRE(source.failures.size() == 1);
        CHECK(source.failures.front().rfind("peer_request_refused", 0) == 0);
    }
    CHECK(source.asked.empty());
}

TEST_CASE_METHOD(TransferFixture, "large states are sent to one instance at a time", "[stream][peerstatetransfer]")
{
    // Guards against a large configuration that reaches no instance in time, because all of them fetch it at once over a slow link, which
    // also delays the packets of clients.
    source.routeCount = 20000;
    asio::ip::tcp::socket slow(context, asio::ip::tcp::v4());
    slow.set_option(asio::socket_base::receive_buffer_size(4096));
    slow.connect({ asio::ip::address_v4(servingAddress.address()), servingAddress.port() });
    const std::string request
        = FrameCodec::encode(GossipCodec::encode(GossipMessage { .deployment = "dewnet", .sender = { .id = "entry-3" } }, clock.now()))
              .value();
    asio::write(slow, asio::buffer(request));
    runUntil([this] { return !source.asked.empty(); });
    CHECK_FALSE(fetchAs("dewnet", servingAddress));
    REQUIRE_FALSE(source.failures.empty());
    CHECK(source.failures.front() == "peer_state_unsent rate_limited");
    slow.close();
    runUntil([this] { return source.failures.size() == 2; });
    CHECK(fetchAs("dewnet", servingAddress));
}

TEST_CASE_METHOD(
    TransferFixture, "a slow reader of a large state doesn't hold up others until its transfer ends", "[stream][peerstatetransfer]")
{
    // Guards against a configuration that reaches the other instances late, because one of them reads it over a slow link.
    source.routeCount = 20000;
    asio::ip::tcp::socket slow(context, asio::ip::tcp::v4());
    slow.set_option(asio::socket_base::receive_buffer_size(4096));
    slow.connect({ asio::ip::address_v4(servingAddress.address()), servingAddress.port() });
    const std::string request
        = FrameCodec::encode(GossipCodec::encode(GossipMessage { .deployment = "dewnet", .sender = { .id = "entry-3" } }, clock.now()))
              .value();
    asio::write(slow, asio::buffer(request));
    slow.non_blocking(true);
    std::array<char, 4096> part {};
    std::size_t received = 0;
    TimePoint nextRead {}; // slower than the whole state may take, but always with progress
    onStep = [&] {
        if (clock.now() >= nextRead) {
            nextRead = clock.now() + milliseconds(40);
            std::error_code ignoredError;
            received += slow.read_some(asio::buffer(part), ignoredError);
        }
    };
    runUntil([&] { return received > 0; });
    bool isFetched = false;
    for (int attempt = 0; attempt < 20 && !isFetched; ++attempt) {
        isFetched = fetchAs("dewnet", servingAddress).has_value();
    }
    CHECK(isFetched);
    CHECK(std::count(source.failures.begin(), source.failures.end(), "peer_state_unsent input_output") == 0);
    CHECK(received < FrameCodec::encode(GossipCodec::encode(source.stateFor({}), clock.now())).value().size());
}

TEST_CASE_METHOD(TransferFixture, "requests that wait for a large state are limited and not encoded before", "[stream][peerstatetransfer]")
{
    // Guards against memory and processor time for states that are never sent, when all instances request a large configuration at once.
    constexpr std::size_t requestCount = 20; // 4 more than may wait
    const Endpoint address(0x7f390003, 7720);
    ManualClock standing; // requests wait until the slot is free
    PeerStateTransfer limited(context.get_executor(), standing, "dewnet", source);
    REQUIRE(limited.bind(address));
    asio::co_spawn(context, limited.serve(), asio::detached);
    source.routeCount = 20000;
    std::deque<asio::ip::tcp::socket> callers;
    const auto request = [&](const std::string &id) {
        callers.emplace_back(context, asio::ip::tcp::v4()).set_option(asio::socket_base::receive_buffer_size(4096));
        callers.back().connect({ asio::ip::address_v4(address.address()), address.port() });
        const GossipMessage message { .deployment = "dewnet", .sender = { .id = id } };
        asio::write(callers.back(), asio::buffer(FrameCodec::encode(GossipCodec::encode(message, clock.now())).value()));
    };
    request("holder");
    runUntil([this] { return !source.asked.empty(); });
    for (std::size_t number = 0; number < requestCount; ++number) {
        request("entry-" + std::to_string(number));
    }
    const auto refusedCount
        = [this] { return std::count(source.failures.begin(), source.failures.end(), "peer_state_unsent rate_limited"); };
    runUntil([&] { return refusedCount() == 4 || source.failures.size() > requestCount; });
    CHECK(refusedCount() == 4);
    CHECK(source.asked.size() + 4 <= requestCount + 1);
    std::sort(source.asked.begin(), source.asked.end());
    CHECK(std::adjacent_find(source.asked.begin(), source.asked.end()) == source.asked.end());
}

TEST_CASE_METHOD(TransferFixture, "a stall before the request is sent doesn't count against the response", "[stream][peerstatetransfer]")
{
    // Guards against failed pulls at instances that are slow to connect: the time before the request was taken from the wait in the
    // queue of the other instance.
    StallingClock stalling;
    PeerStateTransfer asking(context.get_executor(), stalling, "dewnet", ignored);
    std::optional<Result<PeerState>> state;
    asio::co_spawn(context,
        Tests::storeResult(asking.fetch(servingAddress, { .deployment = "dewnet", .sender = { .id = "entry-2" } }), state),
        [](const std::exception_ptr &) {});
    runUntil([&state] { return state.has_value(); });
    REQUIRE(state.has_value());
    CHECK(state->has_value());
}

TEST_CASE("a deadline that is extended after it expired and before its handler ran keeps the socket open", "[stream][peerstatetransfer]")
{
    // Guards against the abort of a transfer whose data and deadline are handled together, for example after a stall of the process.
    asio::io_context context;
    asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
    SocketDeadline deadline(socket, milliseconds(0));
    asio::post(context, [&deadline] { deadline.extend(std::chrono::hours(1)); });
    for (int step = 0; step < 10; ++step) {
        context.poll();
    }
    CHECK_FALSE(deadline.expired());
    CHECK(socket.is_open());
}

TEST_CASE("a socket whose deadline is extended stays open", "[stream][peerstatetransfer]")
{
    // A transfer that makes progress over a slow link must not be aborted.
    asio::io_context context;
    asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
    SocketDeadline deadline(socket, milliseconds(20));
    deadline.extend(std::chrono::hours(1));
    context.run_for(milliseconds(60));
    CHECK_FALSE(deadline.expired());
    CHECK(socket.is_open());
}
