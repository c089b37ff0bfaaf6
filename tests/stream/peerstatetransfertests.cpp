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
        return { .deployment = "dewnet", .sender = { .id = "entry-1" }, .view = { .serversPosition = { 0, 7 } } };
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
        }
    }

    SteadyClock clock;
    asio::io_context context;
    FixedSource source;
    FixedSource ignored;
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
