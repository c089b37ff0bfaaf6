#pragma once

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace Samphirepitch::Tests
{

/** Stores the result of @p work; co_spawn itself would require that Value has a default constructor. */
template<typename Value>
asio::awaitable<void> storeResult(asio::awaitable<Value> work, std::optional<Value> &result)
{
    result.emplace(co_await std::move(work));
}

/** Runs @p work to its end on a new io_context. @return its result; an exception of @p work is rethrown */
template<typename Value>
Value await(asio::awaitable<Value> work)
{
    asio::io_context context;
    std::optional<Value> result;
    asio::co_spawn(context, storeResult(std::move(work), result), [](const std::exception_ptr &thrown) {
        if (thrown) {
            std::rethrow_exception(thrown);
        }
    });
    context.run();
    return std::move(result.value());
}

} // namespace Samphirepitch::Tests
