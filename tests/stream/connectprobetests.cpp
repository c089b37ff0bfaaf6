#include "fakes/await.h"
#include "stream/connectprobe.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

using namespace Samphirepitch;

using std::chrono::milliseconds;

namespace
{

// Keeps the test from hanging; connections over loopback end at once.
constexpr std::chrono::seconds testTimeout { 20 };

ConnectResult connectTo(Endpoint server)
{
    const SteadyClock clock;
    asio::io_context context;
    std::optional<ConnectResult> result;
    TcpConnectProbe probe(context.get_executor(), clock);
    asio::co_spawn(
        context, Tests::storeResult(probe.connect(server, clock.now() + testTimeout), result), [](const std::exception_ptr &) {});
    context.run();
    return result.value();
}

} // namespace

TEST_CASE("a connection to a listening port is accepted and one to a closed port is refused", "[stream][connectprobe]")
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    const Endpoint server(0x7f000001, acceptor.local_endpoint().port());
    CHECK(connectTo(server) == ConnectResult::Accepted);
    acceptor.close();
    CHECK(connectTo(server) == ConnectResult::Refused);
}

TEST_CASE("a timeout whose deadline was handled late says nothing about the server", "[stream][connectprobe]")
{
    // If an instance gets no CPU time for a while, it finds the response and the expired deadline at the same time.
    const TimePoint deadline = TimePoint() + std::chrono::seconds(100);
    CHECK(TcpConnectProbe::timeoutResult(deadline, deadline + milliseconds(5)) == ConnectResult::Unanswered);
    CHECK(TcpConnectProbe::timeoutResult(deadline, deadline + milliseconds(60)) == ConnectResult::Inconclusive);
}

TEST_CASE("a local error on the instance says nothing about the server", "[stream][connectprobe]")
{
    // Otherwise two such errors in a row would make a server silent, and its open flows would be reset.
    CHECK(TcpConnectProbe::resultOf({}) == ConnectResult::Accepted);
    CHECK(TcpConnectProbe::resultOf(asio::error::connection_refused) == ConnectResult::Refused);
    CHECK(TcpConnectProbe::resultOf(asio::error::timed_out) == ConnectResult::Unanswered);
    CHECK(TcpConnectProbe::resultOf(asio::error::host_unreachable) == ConnectResult::Unanswered);
    CHECK(TcpConnectProbe::resultOf(asio::error::no_descriptors) == ConnectResult::Inconclusive);
    CHECK(TcpConnectProbe::resultOf(asio::error::no_buffer_space) == ConnectResult::Inconclusive);
}
