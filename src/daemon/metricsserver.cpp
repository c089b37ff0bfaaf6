#include "daemon/metricsserver.h"

namespace Samphirepitch
{

namespace
{

constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int methodNotAllowed = 405;
constexpr int serviceUnavailable = 503;
constexpr auto plainText = "text/plain; charset=utf-8";
constexpr auto expositionFormat = "text/plain; version=0.0.4; charset=utf-8";

// Only a few collectors read metrics; the limit leaves the other sockets to flows and peers.
constexpr std::size_t maxConnections = 16;

} // namespace

MetricsServer::MetricsServer(const Metrics &metrics, const HealthSource &health)
    : m_metrics(metrics)
    , m_health(health)
{
}

Result<void> MetricsServer::listen(asio::any_io_executor executor, Endpoint address)
{
    HttpLimits limits;
    limits.maxConnections = maxConnections;
    limits.maxBodySize = 0;
    auto server = HttpServer::listen(executor, address, *this, limits);
    if (!server) {
        return tl::unexpected(server.error());
    }
    m_servers.push_back(*std::move(server));
    return {};
}

void MetricsServer::stop()
{
    for (const auto &server : m_servers) {
        server->stop();
    }
}

Endpoint MetricsServer::address() const
{
    return m_servers.empty() ? Endpoint() : m_servers.front()->address();
}

asio::awaitable<std::optional<HttpResponse>> MetricsServer::handle(HttpRequest request)
{
    co_return respond(request);
}

HttpResponse MetricsServer::respond(const HttpRequest &request) const
{
    if (request.method != "GET") {
        return HttpResponse::empty(methodNotAllowed);
    }
    if (request.path() == "/metrics") {
        return HttpResponse::of(ok, expositionFormat, m_metrics.render());
    }
    if (request.path() == "/healthz") {
        return HttpResponse::of(m_health.isServing() ? ok : serviceUnavailable, plainText, std::string(m_health.stateName()) + '\n');
    }
    return HttpResponse::empty(notFound);
}

} // namespace Samphirepitch
