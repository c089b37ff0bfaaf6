#include "objectstore/httpconnection.h"

#include "objectstore/internal/httpstream.h"
#include "objectstore/internal/socketdeadline.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>

namespace Samphirepitch
{

namespace
{

// Shorter than the idle timeout of servers, so that no request is sent on a connection that the server is closing.
constexpr std::chrono::seconds reuseTimeout { 30 };

std::string requestHead(const HttpRequest &request, Endpoint address)
{
    std::string head = request.method + ' ' + request.target + " HTTP/1.1\r\nhost: " + address.toString() + "\r\n";
    for (const HttpHeader &field : request.headers.fields()) {
        head += field.name + ": " + field.value + "\r\n";
    }
    return head + "content-length: " + std::to_string(request.body.size()) + "\r\n\r\n";
}

} // namespace

HttpConnection::HttpConnection(asio::any_io_executor executor, const Clock &clock, Endpoint address, const HttpLimits &limits)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_address(address)
    , m_limits(limits)
{
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::close()
{
    if (m_stream) {
        std::error_code ignored;
        m_stream->socket().close(ignored);
    }
    m_reusable = false;
}

asio::awaitable<Result<void>> HttpConnection::connect(HttpStream &stream)
{
    const asio::ip::tcp::endpoint target(asio::ip::address_v4(m_address.address()), m_address.port());
    std::error_code error;
    co_await stream.socket().async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return failure(ErrorKind::Unavailable, m_address.toString(), error.message());
    }
    std::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return Result<void>();
}

asio::awaitable<Result<HttpResponse>> HttpConnection::transfer(std::shared_ptr<HttpStream> stream, const HttpRequest &request)
{
    const std::string head = requestHead(request, m_address);
    const Result<void> written = co_await stream->write(head, request.body);
    if (!written) {
        co_return failure(ErrorKind::OutcomeUnknown, m_address.toString(), written.error().detail());
    }
    HttpParser parser(HTTP_RESPONSE, m_limits);
    const Result<void> received = co_await stream->read(parser);
    if (!received) {
        const ErrorKind kind = received.error().kind() == ErrorKind::InputOutput ? ErrorKind::OutcomeUnknown : received.error().kind();
        co_return failure(kind, m_address.toString(), received.error().detail());
    }
    m_reusable = parser.shouldKeepAlive();
    co_return parser.takeResponse();
}

asio::awaitable<Result<HttpResponse>> HttpConnection::exchange(HttpRequest request, TimePoint deadline)
{
    const TimePoint start = m_clock.now();
    if (start >= deadline) {
        co_return failure(ErrorKind::DeadlineExceeded, m_address.toString(), "the deadline passed before the request was sent");
    }
    const bool reuse = std::exchange(m_reusable, false) && m_stream && start < m_reuseDeadline && m_stream->isIdle();
    if (!reuse) {
        m_stream = std::make_shared<HttpStream>(asio::ip::tcp::socket(m_executor));
    }
    const std::shared_ptr<HttpStream> stream = m_stream;
    const SocketDeadline socketDeadline(stream->socket(), deadline - start);
    if (!reuse) {
        const Result<void> connected = co_await connect(*stream);
        if (socketDeadline.expired()) {
            co_return failure(ErrorKind::DeadlineExceeded, m_address.toString(), "no connection was established before the deadline");
        }
        if (!connected) {
            co_return tl::unexpected(connected.error());
        }
    }
    Result<HttpResponse> response = co_await transfer(stream, request);
    m_reuseDeadline = m_clock.now() + reuseTimeout;
    if (!response && socketDeadline.expired()) {
        co_return failure(ErrorKind::OutcomeUnknown, m_address.toString(), "no response was received before the deadline");
    }
    co_return response;
}

} // namespace Samphirepitch
