#include "soak/storestandin.h"

#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>

namespace Samphirepitch::Soak
{

namespace
{

using Json = nlohmann::json;

constexpr std::chrono::milliseconds watchPollInterval { 5 }; // between checks for changes of a waiting watch
const std::string objectsPath = "/v1/objects/";

HttpResponse jsonResponse(const Json &body, int status = 200)
{
    return HttpResponse::of(status, "application/json", body.dump());
}

} // namespace

StoreStandin::StoreStandin(asio::any_io_executor executor)
    : m_executor(executor)
    , m_server(HttpServer::listen(std::move(executor), Endpoint(0x7f000001, 0), *this).value())
{
}

Endpoint StoreStandin::address() const
{
    return m_server->address();
}

std::uint64_t StoreStandin::put(const std::string &kind, const std::string &name, Json spec)
{
    const Json object { { "meta", { { "name", name }, { "revision", m_revision + 1 } } }, { "spec", std::move(spec) } };
    m_objects[kind][name] = object;
    record(kind, false, object);
    return m_revision;
}

void StoreStandin::remove(const std::string &kind, const std::string &name)
{
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end()) {
        return;
    }
    Json object = found->second;
    object["meta"]["revision"] = m_revision + 1;
    m_objects[kind].erase(found);
    record(kind, true, std::move(object));
}

void StoreStandin::record(const std::string &kind, bool deleted, Json object)
{
    m_history.push_back({ ++m_revision, kind, deleted, std::move(object) });
}

void StoreStandin::compact()
{
    m_history.clear();
    m_historyStart = m_revision;
}

void StoreStandin::setUnavailable(bool unavailable)
{
    m_unavailable = unavailable;
}

asio::awaitable<std::optional<HttpResponse>> StoreStandin::handle(HttpRequest request)
{
    const std::string path(request.path());
    if (m_unavailable || request.method != "GET" || path.rfind(objectsPath, 0) != 0) {
        co_return HttpResponse::empty(m_unavailable ? 503 : 404);
    }
    const std::string kind = path.substr(objectsPath.size());
    const auto watch = request.queryNumber("watch");
    if (!watch) {
        co_return list(kind);
    }
    asio::steady_timer timer(m_executor);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(request.queryNumber("wait_ms").value_or(0));
    std::optional<HttpResponse> found = changes(kind, *watch, false);
    while (!found && !m_unavailable && std::chrono::steady_clock::now() < deadline) {
        timer.expires_after(watchPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
        found = changes(kind, *watch, false);
    }
    co_return found ? found : changes(kind, *watch, true);
}

HttpResponse StoreStandin::list(const std::string &kind) const
{
    Json items = Json::array();
    if (const auto found = m_objects.find(kind); found != m_objects.end()) {
        for (const auto &[name, object] : found->second) {
            items.push_back(object);
        }
    }
    return jsonResponse({ { "items", items }, { "has_more", false }, { "store_revision", m_revision } });
}

std::optional<HttpResponse> StoreStandin::changes(const std::string &kind, std::uint64_t after, bool includeEmpty) const
{
    if (after < m_historyStart) {
        return HttpResponse::empty(410);
    }
    Json events = Json::array();
    for (const Change &change : m_history) {
        if (change.revision > after && change.kind == kind) {
            events.push_back({ { "deleted", change.deleted }, { "object", change.object } });
        }
    }
    if (events.empty() && !includeEmpty) {
        return std::nullopt;
    }
    return jsonResponse({ { "events", events }, { "store_revision", m_revision } });
}

} // namespace Samphirepitch::Soak
