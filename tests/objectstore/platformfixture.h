#pragma once

#include "lib/platformstandin.h"
#include "objectstore/httpplatform.h"
#include "objectstore/httpserver.h"

#include <asio/co_spawn.hpp>
#include <asio/connect.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>

namespace Samphirepitch::Testing
{

constexpr Endpoint anyLoopbackPort(0x7f000001, 0);

// Terminates tests that would hang; no test measures time.
constexpr std::chrono::seconds testTimeout { 20 };

/** Runs @p context until @p call completes and returns its result. Fails the test if it throws or exceeds testTimeout. */
template<typename T>
T await(asio::io_context &context, asio::awaitable<T> call)
{
    std::optional<T> result;
    std::exception_ptr failed;
    asio::co_spawn(context, std::move(call), [&](std::exception_ptr thrown, T value) {
        failed = thrown;
        result = std::move(value);
    });
    context.restart();
    const auto deadline = std::chrono::steady_clock::now() + testTimeout;
    while (!result && std::chrono::steady_clock::now() < deadline) {
        context.run_one_until(deadline);
    }
    REQUIRE(result.has_value());
    REQUIRE(failed == nullptr);
    return std::move(*result);
}

/** The platform stand-in behind an HTTP server on a free port of 127.0.0.1, and a client that is connected to it. */
struct PlatformFixture {
    asio::io_context context { 1 };
    SteadyClock steadyClock;
    ManualClock standInClock;
    StandIn::PlatformStandIn standIn { context.get_executor(), standInClock };
    std::unique_ptr<HttpServer> server = HttpServer::listen(context.get_executor(), anyLoopbackPort, standIn).value();
    std::unique_ptr<HttpPlatform> platform = HttpPlatform::create(context.get_executor(), steadyClock, server->address()).value();

    TimePoint testDeadline() const
    {
        return steadyClock.now() + testTimeout;
    }

    Result<std::uint64_t> write(std::string key, std::string body, std::uint64_t expected)
    {
        return await(context, platform->write(std::move(key), std::move(body), expected, testDeadline()));
    }

    Result<PlatformObject> read(std::string key)
    {
        return await(context, platform->read(std::move(key), testDeadline()));
    }
};

/**
 * Accepts a connection, reads up to 4096 bytes, sends @p response and closes the connection. If @p response is empty, it sends
 * nothing and waits until the client closes the connection.
 */
inline asio::awaitable<void> respondOnce(asio::ip::tcp::acceptor &acceptor, std::string response)
{
    asio::ip::tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string received(4096, '\0');
    std::error_code error;
    std::size_t count = co_await socket.async_read_some(asio::buffer(received), asio::redirect_error(asio::use_awaitable, error));
    if (!response.empty()) {
        co_await asio::async_write(socket, asio::buffer(response), asio::redirect_error(asio::use_awaitable, error));
        co_return;
    }
    while (!error && count > 0) {
        count = co_await socket.async_read_some(asio::buffer(received), asio::redirect_error(asio::use_awaitable, error));
    }
}

/** Sends bytes to a server and returns everything received until the server closes the connection. */
inline asio::awaitable<std::string> rawExchange(Endpoint address, std::string bytes)
{
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    const asio::ip::tcp::endpoint target(asio::ip::address_v4(address.address()), address.port());
    co_await socket.async_connect(target, asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
    std::string response;
    std::error_code error;
    co_await asio::async_read(socket, asio::dynamic_buffer(response), asio::redirect_error(asio::use_awaitable, error));
    co_return response;
}

} // namespace Samphirepitch::Testing
