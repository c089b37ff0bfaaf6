#include "objectstore/platformfixture.h"

using namespace Samphirepitch;
using namespace Samphirepitch::Testing;

namespace
{

/** Responds with the method, the target and the body size of the request. */
class EchoHandler : public HttpHandler
{
public:
    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override
    {
        co_return HttpResponse::of(200, "text/plain", request.method + ' ' + request.target + ' ' + std::to_string(request.body.size()));
    }
};

struct ServerFixture {
    std::string exchange(const std::string &bytes)
    {
        return await(context, rawExchange(server->address(), bytes));
    }

    asio::io_context context { 1 };
    EchoHandler handler;
    std::unique_ptr<HttpServer> server = HttpServer::listen(context.get_executor(), anyLoopbackPort, handler).value();
};

} // namespace

TEST_CASE_METHOD(ServerFixture, "pipelined requests of a connection are answered in order", "[objectstore][httpserver]")
{
    const std::string response = exchange("GET /a HTTP/1.1\r\n\r\nPUT /b HTTP/1.1\r\ncontent-length: 3\r\nconnection: close\r\n\r\nxyz");
    CHECK(response
        == "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 8\r\n\r\nGET /a 0"
           "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 8\r\nconnection: close\r\n\r\nPUT /b 3");
}

TEST_CASE_METHOD(ServerFixture, "malformed requests are answered with 400 and the connection is closed", "[objectstore][httpserver]")
{
    const std::string request
        = GENERATE(as<std::string>(), "nonsense\r\n\r\n", "GET / HTTP/9.z\r\n\r\n", "GET / HTTP/1.1\r\nno colon\r\n\r\n",
            "PUT / HTTP/1.1\r\ncontent-length: x\r\n\r\n", "PUT / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
            "GET / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n");
    CHECK(exchange(request).starts_with("HTTP/1.1 400 "));
}

TEST_CASE_METHOD(ServerFixture, "requests above the limits are answered with 413", "[objectstore][httpserver]")
{
    // Guards against allocating memory for bytes that a client has only announced.
    std::string manyFields = "GET / HTTP/1.1\r\n";
    for (int field = 0; field < 65; ++field) {
        manyFields += "a: b\r\n";
    }
    CHECK(exchange(manyFields + "\r\n").starts_with("HTTP/1.1 413 "));
    CHECK(exchange("PUT / HTTP/1.1\r\ncontent-length: 1052673\r\n\r\n").starts_with("HTTP/1.1 413 "));
    CHECK(exchange("PUT / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n").starts_with("HTTP/1.1 4"));
    CHECK(exchange("GET /" + std::string(16 * 1024, 'x') + " HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 413 "));
}

TEST_CASE_METHOD(ServerFixture, "connections above the limit are closed", "[objectstore][httpserver]")
{
    HttpLimits limits;
    limits.maxConnections = 0;
    server = HttpServer::listen(context.get_executor(), anyLoopbackPort, handler, limits).value();
    CHECK(exchange("GET / HTTP/1.1\r\n\r\n").empty());
    CHECK(server->connectionCount() == 0);
}

TEST_CASE_METHOD(ServerFixture, "an address in use is reported as an error", "[objectstore][httpserver]")
{
    CHECK(HttpServer::listen(context.get_executor(), server->address(), handler).error().kind() == ErrorKind::InputOutput);
}

TEST_CASE("query parameters are looked up by name", "[objectstore][httprequest]")
{
    HttpRequest request;
    request.target = "/v1/objects/head?watch=12&timeout_ms=x&empty=&flag";
    CHECK(request.path() == "/v1/objects/head");
    CHECK(request.queryNumber("watch") == 12);
    CHECK(request.query("empty") == "");
    CHECK_FALSE(request.queryNumber("timeout_ms").has_value());
    CHECK_FALSE(request.query("flag").has_value());
    CHECK_FALSE(request.query("atch").has_value());
}
