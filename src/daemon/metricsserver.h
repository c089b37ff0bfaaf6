#pragma once

#include "daemon/healthsource.h"
#include "daemon/metrics.h"
#include "objectstore/httphandler.h"
#include "objectstore/httpserver.h"

#include <memory>
#include <vector>

namespace Samphirepitch
{

/** HTTP server for GET /metrics, which returns all metrics, and GET /healthz, which returns 200 if the instance serves and 503 if not. */
class MetricsServer : public HttpHandler
{
public:
    /** @p metrics and @p health must outlive this object. */
    MetricsServer(const Metrics &metrics, const HealthSource &health);

    /** Starts listening at an additional address. @return InputOutput if the address cannot be bound */
    Result<void> listen(asio::any_io_executor executor, Endpoint address);

    /** Closes the listeners and all connections. */
    void stop();

    /** Returns the first address that the server listens at; unset if there is none. */
    Endpoint address() const;

    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override;

private:
    HttpResponse respond(const HttpRequest &request) const;

    const Metrics &m_metrics;
    const HealthSource &m_health;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
};

} // namespace Samphirepitch
