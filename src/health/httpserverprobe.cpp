#include "health/httpserverprobe.h"

#include "objectstore/httpconnection.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Samphirepitch
{

namespace
{

using Json = nlohmann::json;

// A report is a flat object. Deeper input is rejected while it is parsed.
constexpr int maxDepth = 4;

constexpr int okStatus = 200;

} // namespace

HttpServerProbe::HttpServerProbe(asio::any_io_executor executor, const Clock &clock)
    : m_executor(std::move(executor))
    , m_clock(clock)
{
}

asio::awaitable<ProbeResult> HttpServerProbe::probe(Endpoint health, TimePoint deadline)
{
    HttpLimits limits;
    limits.maxHeaderSize = maxResponseSize;
    limits.maxBodySize = maxResponseSize;
    HttpConnection connection(m_executor, m_clock, health, limits);
    HttpRequest request;
    request.target = "/health";
    const Result<HttpResponse> response = co_await connection.exchange(std::move(request), deadline);
    connection.close();
    if (!response) {
        const ErrorKind kind = response.error().kind();
        co_return kind == ErrorKind::Malformed || kind == ErrorKind::TooLarge ? ProbeResult::Malformed : ProbeResult::Unanswered;
    }
    co_return response->status == okStatus ? parseReport(response->body) : ProbeResult::Malformed;
}

ProbeResult HttpServerProbe::parseReport(std::string_view body)
{
    if (body.size() > maxResponseSize) {
        return ProbeResult::Malformed;
    }
    bool tooDeep = false;
    const auto limitDepth = [&tooDeep](int depth, Json::parse_event_t, Json &) {
        tooDeep = tooDeep || depth > maxDepth;
        return !tooDeep;
    };
    const Json report = Json::parse(body.begin(), body.end(), limitDepth, false);
    if (tooDeep || !report.is_object()) {
        return ProbeResult::Malformed;
    }
    const auto state = report.find("state");
    if (state == report.end() || !state->is_string()) {
        return ProbeResult::Malformed;
    }
    const auto &name = state->get_ref<const std::string &>();
    for (const ProbeResult result : { ProbeResult::Ok, ProbeResult::Draining, ProbeResult::Overloaded }) {
        if (name == probeResultName(result)) {
            return result;
        }
    }
    return ProbeResult::Malformed;
}

} // namespace Samphirepitch
