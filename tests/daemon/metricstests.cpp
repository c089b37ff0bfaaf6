#include "daemon/expositionwriter.h"
#include "daemon/loopmonitor.h"
#include "daemon/metrics.h"
#include "daemon/metricsserver.h"

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <limits>

using namespace Samphirepitch;

namespace
{

class FakeHealthSource : public HealthSource
{
public:
    bool isServing() const override
    {
        return serving;
    }

    std::string_view stateName() const override
    {
        return serving ? "serving" : "leaving";
    }

    bool serving = true;
};

class EventSinkMock : public EventSink
{
public:
    MAKE_MOCK3(record, void(EventSeverity, std::string_view, std::vector<EventField>), override);
};

HttpResponse sendRequest(MetricsServer &server, std::string method, std::string target)
{
    asio::io_context context;
    std::optional<HttpResponse> response;
    asio::co_spawn(context, server.handle({ .method = std::move(method), .target = std::move(target) }),
        [&](const std::exception_ptr &, std::optional<HttpResponse> result) { response = std::move(result); });
    context.run();
    return response.value();
}

} // namespace

TEST_CASE("samples of one metric are grouped and labels are escaped", "[daemon][metrics]")
{
    // Guards against output that collectors reject: each metric must have one HELP and one TYPE line, followed by all of its samples.
    ExpositionWriter writer;
    writer.counter("a_total", "All \\ a.", { { "service", "x\"y\\z\n" }, { "kind", "k" } }, 3);
    writer.gauge("b", "The b.", {}, 0.25);
    writer.counter("a_total", "All \\ a.", { { "service", "z" } }, 4);
    writer.gauge("c", "The c.", {}, std::numeric_limits<double>::infinity());
    CHECK(writer.text()
        == "# HELP a_total All \\\\ a.\n# TYPE a_total counter\na_total{service=\"x\\\"y\\\\z\\n\",kind=\"k\"} 3\na_total{service=\"z\"} "
           "4\n"
           "# HELP b The b.\n# TYPE b gauge\nb 0.25\n# HELP c The c.\n# TYPE c gauge\nc +Inf\n");
}

TEST_CASE("a histogram is written with cumulative buckets", "[daemon][metrics]")
{
    Metrics metrics;
    LatencyHistogram &latency = metrics.addHistogram("wait_seconds", "Waiting.");
    latency.record(std::chrono::milliseconds(2));
    latency.record(std::chrono::milliseconds(300));
    latency.record(std::chrono::seconds(60));
    const std::string text = metrics.render();
    CHECK(text.find("# TYPE wait_seconds histogram\n") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{le=\"0.001\"} 0\n") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{le=\"0.0025\"} 1\n") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{le=\"0.5\"} 2\n") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("wait_seconds_sum 60.302\n") != std::string::npos);
    CHECK(text.find("wait_seconds_count 3\n") != std::string::npos);
}

TEST_CASE("the metrics server serves its two paths", "[daemon][metricsserver]")
{
    Metrics metrics;
    metrics.addHistogram("wait_seconds", "Waiting.");
    FakeHealthSource health;
    MetricsServer server(metrics, health);
    CHECK(sendRequest(server, "GET", "/metrics").body.find("wait_seconds_count 0") != std::string::npos);
    CHECK(sendRequest(server, "GET", "/healthz").status == 200);
    health.serving = false;
    const HttpResponse unavailable = sendRequest(server, "GET", "/healthz");
    CHECK(unavailable.status == 503);
    CHECK(unavailable.body == "leaving\n");
    CHECK(sendRequest(server, "GET", "/other").status == 404);
    CHECK(sendRequest(server, "POST", "/metrics").status == 405);
}

TEST_CASE("the loop monitor reports a pause of the process", "[daemon][loopmonitor]")
{
    const ManualClock clock;
    LatencyHistogram lateness;
    EventSinkMock events;
    LoopMonitor monitor(clock, events, lateness);
    monitor.check(clock.now(), clock.now() + std::chrono::milliseconds(10));
    const std::vector<EventField> fields { { "pause_ms", "1200" } };
    REQUIRE_CALL(events, record(EventSeverity::Warning, "process_paused", fields));
    monitor.check(clock.now(), clock.now() + std::chrono::milliseconds(1200));
    CHECK(lateness.count() == 2);
}
