#pragma once

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace Samphirepitch::Tests
{

/** Keeps the result of @p work; co_spawn itself asks for a default constructor. */
template<typename Value>
asio::awaitable<void> keepResult(asio::awaitable<Value> work, std::optional<Value> &result)
{
    result.emplace(co_await std::move(work));
}

/** Runs @p work to its end on an io_context of its own and returns its result; rethrows what it throws. */
template<typename Value>
Value await(asio::awaitable<Value> work)
{
    asio::io_context context;
    std::optional<Value> result;
    asio::co_spawn(context, keepResult(std::move(work), result), [](const std::exception_ptr &thrown) {
        if (thrown) {
            std::rethrow_exception(thrown);
        }
    });
    context.run();
    return std::move(result.value());
}

} // namespace Samphirepitch::Tests
