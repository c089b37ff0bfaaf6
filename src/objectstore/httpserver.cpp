#include "objectstore/httpserver.h"

#include "objectstore/internal/httpstream.h"
#include "objectstore/internal/socketdeadline.h"
#include "objectstore/internal/tcplistener.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <set>
#include <utility>

namespace Samphirepitch
{

namespace
{

// Delay after a failed accept, such as one with "too many open files".
constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

std::string responseHead(const HttpResponse &response, bool keepAlive)
{
    const auto status = static_cast<http_status>(response.status);
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ' + http_status_str(status) + "\r\n";
    for (const HttpHeader &field : response.headers.fields()) {
        head += field.name + ": " + field.value + "\r\n";
    }
    if (response.status != 204 && response.status != 304) {
        head += "content-length: " + std::to_string(response.body.size()) + "\r\n";
    }
    return head + (keepAlive ? "\r\n" : "connection: close\r\n\r\n");
}

} // namespace

/** State shared with the coroutines of the listener and the connections, which may outlive the HttpServer. */
class HttpServer::State : public std::enable_shared_from_this<HttpServer::State>
{
public:
    State(const asio::any_io_executor &executor, HttpHandler &handler, const HttpLimits &limits)
        : m_handler(handler)
        , m_limits(limits)
        , m_acceptor(executor)
    {
    }

    std::error_code open(Endpoint address)
    {
        std::error_code error = openListener(m_acceptor, address);
        if (!error) {
            const auto bound = m_acceptor.local_endpoint(error);
            m_address = Endpoint(address.address(), bound.port());
        }
        return error;
    }

    void start()
    {
        asio::co_spawn(m_acceptor.get_executor(), acceptConnections(shared_from_this()), asio::detached);
    }

    void stop()
    {
        m_stopped = true;
        std::error_code ignored;
        m_acceptor.close(ignored);
        for (HttpStream *stream : m_streams) {
            stream->socket().close(ignored);
        }
    }

    Endpoint address() const
    {
        return m_address;
    }

    std::size_t connectionCount() const
    {
        return m_streams.size();
    }

private:
    static asio::awaitable<void> acceptConnections(std::shared_ptr<State> state)
    {
        while (!state->m_stopped) {
            std::error_code error;
            asio::ip::tcp::socket socket = co_await state->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (state->m_stopped) {
                co_return;
            }
            if (error) {
                asio::steady_timer retryTimer(state->m_acceptor.get_executor(), acceptRetryDelay);
                co_await retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
                continue;
            }
            if (state->m_streams.size() < state->m_limits.maxConnections) {
                asio::co_spawn(state->m_acceptor.get_executor(), serveConnection(state, std::move(socket)), asio::detached);
            }
        }
    }

    static asio::awaitable<void> serveConnection(std::shared_ptr<State> state, asio::ip::tcp::socket socket)
    {
        std::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        HttpStream stream(std::move(socket));
        const Registration registration(*state, stream);
        bool open = true;
        while (open && !state->m_stopped) {
            open = co_await state->serveRequest(stream);
        }
    }

    /** Receives a request and sends its response. @return whether the connection stays open */
    asio::awaitable<bool> serveRequest(HttpStream &stream)
    {
        const Result<void> waiting = co_await waitForRequest(stream);
        if (!waiting) {
            co_return false;
        }
        HttpParser parser(HTTP_REQUEST, m_limits);
        const Result<void> received = co_await readRequest(stream, parser);
        if (!received) {
            co_await sendError(stream, received.error().kind());
            co_return false;
        }
        std::optional<HttpResponse> response = co_await m_handler.handle(parser.takeRequest());
        if (!response || m_stopped) {
            co_return false;
        }
        const bool written = co_await writeResponse(stream, *response, parser.shouldKeepAlive());
        co_return written &&parser.shouldKeepAlive();
    }

    asio::awaitable<Result<void>> waitForRequest(HttpStream &stream)
    {
        const SocketDeadline socketDeadline(stream.socket(), m_limits.idleTimeout);
        co_return co_await stream.waitForData();
    }

    asio::awaitable<Result<void>> readRequest(HttpStream &stream, HttpParser &parser)
    {
        const SocketDeadline socketDeadline(stream.socket(), m_limits.transferTimeout);
        co_return co_await stream.read(parser);
    }

    asio::awaitable<bool> writeResponse(HttpStream &stream, const HttpResponse &response, bool keepAlive)
    {
        const SocketDeadline socketDeadline(stream.socket(), m_limits.transferTimeout);
        const std::string head = responseHead(response, keepAlive);
        const Result<void> written = co_await stream.write(head, response.body);
        co_return written.has_value();
    }

    asio::awaitable<void> sendError(HttpStream &stream, ErrorKind kind)
    {
        if (kind == ErrorKind::TooLarge || kind == ErrorKind::Malformed) {
            const HttpResponse response = HttpResponse::empty(kind == ErrorKind::TooLarge ? 413 : 400);
            co_await writeResponse(stream, response, false);
        }
    }

    /** Registers a connection for stop() during the lifetime of its coroutine. */
    class Registration
    {
    public:
        Registration(State &state, HttpStream &stream)
            : m_state(state)
            , m_stream(stream)
        {
            m_state.m_streams.insert(&m_stream);
        }
        ~Registration()
        {
            m_state.m_streams.erase(&m_stream);
        }
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;

    private:
        State &m_state;
        HttpStream &m_stream;
    };

    HttpHandler &m_handler;
    HttpLimits m_limits;
    asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_address;
    std::set<HttpStream *> m_streams;
    bool m_stopped = false;
};

HttpServer::HttpServer(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(
    asio::any_io_executor executor, Endpoint address, HttpHandler &handler, const HttpLimits &limits)
{
    auto state = std::make_shared<State>(executor, handler, limits);
    if (const std::error_code error = state->open(address)) {
        return failure(ErrorKind::InputOutput, address.toString(), error.message());
    }
    state->start();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::~HttpServer()
{
    stop();
}

Endpoint HttpServer::address() const
{
    return m_state->address();
}

std::size_t HttpServer::connectionCount() const
{
    return m_state->connectionCount();
}

void HttpServer::stop()
{
    m_state->stop();
}

} // namespace Samphirepitch
