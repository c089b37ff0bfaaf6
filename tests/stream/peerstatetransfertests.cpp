#include "fakes/await.h"
#include "stream/peerstatetransfer.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

using namespace Samphirepitch;

using std::chrono::milliseconds;

namespace
{

// Loopback addresses that no other test uses.
constexpr Endpoint serving { 0x7f390001, 7720 };
constexpr Endpoint unused { 0x7f390002, 7720 };

// Only a bound against a test that hangs; the awaited states come within milliseconds.
constexpr std::chrono::seconds patience { 20 };

/** Gives the same state to all. */
class FixedSource : public PeerStateSource
{
public:
    PeerState stateFor(const GossipMessage &request) override
    {
        asked.push_back(request.sender.id);
        return { .deployment = "dewnet", .sender = { .id = "entry-1" }, .view = { .serversRevision = 7 } };
    }

    void reportFailure(std::string_view event, const std::string &, const Error &error) override
    {
        failures.push_back(std::string(event) + ' ' + std::string(errorKindName(error.kind())));
    }

    std::vector<std::string> asked;
    std::vector<std::string> failures;
};

class TransferFixture
{
public:
    TransferFixture()
    {
        REQUIRE(transfer.bind(serving));
        asio::co_spawn(context, transfer.serve(), asio::detached);
    }

    Result<PeerState> fetchAs(const std::string &deployment, Endpoint from)
    {
        PeerStateTransfer asking(context.get_executor(), clock, deployment, ignored);
        std::optional<Result<PeerState>> state;
        asio::co_spawn(context, Tests::keepResult(asking.fetch(from, { .deployment = deployment, .sender = { .id = "entry-2" } }), state),
            [](const std::exception_ptr &) {});
        runUntil([&state] { return state.has_value(); });
        return state.value();
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        const TimePoint limit = clock.now() + patience;
        while (!condition() && clock.now() < limit) {
            context.run_one_for(milliseconds(5));
        }
    }

    SteadyClock clock;
    asio::io_context context;
    FixedSource source;
    FixedSource ignored;
    PeerStateTransfer transfer { context.get_executor(), clock, "dewnet", source };
};

} // namespace

TEST_CASE_METHOD(TransferFixture, "an instance gets the state that another one gives", "[stream][peerstatetransfer]")
{
    const Result<PeerState> state = fetchAs("dewnet", serving);
    REQUIRE(state);
    CHECK(state->sender.id == "entry-1");
    CHECK(state->view.serversRevision == 7);
    CHECK(source.asked == std::vector<std::string> { "entry-2" });
    CHECK(source.failures.empty());
}

TEST_CASE_METHOD(TransferFixture, "an address at which no instance listens gives no state", "[stream][peerstatetransfer]")
{
    const Result<PeerState> state = fetchAs("dewnet", unused);
    REQUIRE_FALSE(state);
    CHECK(state.error().kind() == ErrorKind::Unavailable);
}

TEST_CASE_METHOD(TransferFixture, "requests that get no state are reported with their reason", "[stream][peerstatetransfer]")
{
    SECTION("an instance of another deployment")
    {
        CHECK_FALSE(fetchAs("tugan-kun", serving));
        CHECK(source.failures == std::vector<std::string> { "peer_request_refused wrong_deployment" });
    }
    SECTION("bytes that are no request")
    {
        asio::ip::tcp::socket caller(context);
        caller.connect({ asio::ip::address_v4(serving.address()), serving.port() });
        asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        runUntil([this] { return !source.failures.empty(); });
        REQUIRE(source.failures.size() == 1);
        CHECK(source.failures.front().rfind("peer_request_refused", 0) == 0);
    }
    CHECK(source.asked.empty());
}
