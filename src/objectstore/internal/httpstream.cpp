#include "objectstore/internal/httpstream.h"

#include <asio/buffer.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <array>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr std::size_t bufferSize = 8 * 1024; // bytes; large enough for the header of most messages

} // namespace

HttpStream::HttpStream(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
    , m_buffer(bufferSize)
{
}

asio::ip::tcp::socket &HttpStream::socket()
{
    return m_socket;
}

asio::awaitable<Result<bool>> HttpStream::fill()
{
    std::error_code error;
    const std::size_t count = co_await m_socket.async_read_some(asio::buffer(m_buffer), asio::redirect_error(asio::use_awaitable, error));
    m_begin = 0;
    m_end = error ? 0 : count;
    if (error == asio::error::eof) {
        co_return false;
    }
    if (error) {
        co_return failure(ErrorKind::InputOutput, "http", error.message());
    }
    co_return true;
}

asio::awaitable<Result<void>> HttpStream::waitForData()
{
    if (m_begin < m_end) {
        co_return Result<void>();
    }
    const Result<bool> filled = co_await fill();
    if (!filled) {
        co_return tl::unexpected(filled.error());
    }
    if (!*filled) {
        co_return failure(ErrorKind::InputOutput, "http", "the other side closed the connection");
    }
    co_return Result<void>();
}

Result<void> HttpStream::consume(HttpParser &parser)
{
    const auto consumed = parser.feed(std::string_view(m_buffer.data() + m_begin, m_end - m_begin));
    if (!consumed) {
        return tl::unexpected(consumed.error());
    }
    m_begin += *consumed;
    return {};
}

asio::awaitable<Result<void>> HttpStream::read(HttpParser &parser)
{
    while (!parser.isComplete()) {
        if (m_begin == m_end) {
            const Result<bool> filled = co_await fill();
            if (!filled) {
                co_return tl::unexpected(filled.error());
            }
            if (!*filled) {
                if (!parser.hasStarted()) {
                    co_return failure(ErrorKind::InputOutput, "http", "the other side closed the connection");
                }
                co_return parser.finish();
            }
        }
        const Result<void> consumed = consume(parser);
        if (!consumed) {
            co_return consumed;
        }
    }
    co_return Result<void>();
}

asio::awaitable<Result<void>> HttpStream::write(const std::string &head, const std::string &body)
{
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(head), asio::buffer(body) };
    std::error_code error;
    co_await asio::async_write(m_socket, buffers, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return failure(ErrorKind::InputOutput, "http", error.message());
    }
    co_return Result<void>();
}

bool HttpStream::isIdle()
{
    if (!m_socket.is_open() || m_begin < m_end) {
        return false;
    }
    std::error_code error;
    m_socket.non_blocking(true, error);
    char byte = 0;
    m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

} // namespace Samphirepitch
