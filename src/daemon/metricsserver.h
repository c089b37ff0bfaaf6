#pragma once

#include "daemon/healthsource.h"
#include "daemon/metrics.h"
#include "objectstore/httphandler.h"
#include "objectstore/httpserver.h"

#include <memory>
#include <vector>

namespace Samphirepitch
{

/** Answers GET /metrics with all metrics and GET /healthz with 200 if the instance serves and 503 otherwise. */
class MetricsServer : public HttpHandler
{
public:
    /** Takes metrics and health, which have to outlive this object. */
    MetricsServer(const Metrics &metrics, const HealthSource &health);

    /** Starts to listen at one more address. @return InputOutput if the address cannot be bound */
    Result<void> listen(asio::any_io_executor executor, Endpoint address);

    /** Closes the listeners and all connections. */
    void stop();

    /** Returns the first bound address; unset if it does not listen. */
    Endpoint address() const;

    asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) override;

private:
    HttpResponse respond(const HttpRequest &request) const;

    const Metrics &m_metrics;
    const HealthSource &m_health;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
};

} // namespace Samphirepitch
