#include "peer/internal/framestream.h"

#include "peer/framecodec.h"

#include <asio/buffer.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/read.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr std::size_t chunkSize = 16 * 1024; // bytes; memory is allocated as data arrives, not by the length that the header claims
constexpr auto token = asio::experimental::as_tuple(asio::use_awaitable);

} // namespace

asio::awaitable<Result<std::string>> readFrame(asio::ip::tcp::socket &socket, std::size_t limit, std::function<void()> onProgress)
{
    FrameCodec::Header header {};
    const auto [headerError, headerSize] = co_await asio::async_read(socket, asio::buffer(header), token);
    if (headerError) {
        co_return failure(ErrorKind::Unavailable, "connection", headerError.message());
    }
    const Result<std::size_t> size = FrameCodec::bodySize(header, limit);
    if (!size) {
        co_return tl::unexpected<Error>(size.error());
    }
    std::string body;
    while (body.size() < *size) {
        const std::size_t read = body.size();
        const std::size_t wanted = std::min(chunkSize, *size - read);
        body.resize(read + wanted);
        const auto [error, count] = co_await asio::async_read(socket, asio::buffer(body.data() + read, wanted), token);
        if (error) {
            co_return failure(ErrorKind::Unavailable, "connection", error.message());
        }
        if (onProgress) {
            onProgress();
        }
    }
    co_return body;
}

asio::awaitable<Result<std::string>> readFrame(asio::ip::tcp::socket &socket, std::size_t limit)
{
    std::function<void()> noReport;
    return readFrame(socket, limit, std::move(noReport));
}

} // namespace Samphirepitch
