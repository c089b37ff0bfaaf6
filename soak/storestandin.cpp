#include "soak/storestandin.h"

#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace Samphirepitch::Soak
{

namespace
{

using Json = nlohmann::json;

constexpr std::chrono::milliseconds watchPollInterval { 5 }; // between checks for changes of a waiting watch
constexpr std::uint64_t initialRevision = 1;
const std::string objectsPath = "/v1/objects/";

} // namespace

StoreStandin::StoreStandin(asio::any_io_executor executor, const Clock &clock)
    : m_executor(executor)
    , m_clock(clock)
    , m_server(HttpServer::listen(std::move(executor), Endpoint(0x7f000001, 0), *this).value())
{
}

Endpoint StoreStandin::address() const
{
    return m_server->address();
}

std::uint64_t StoreStandin::put(const std::string &kind, const std::string &name, Json spec)
{
    const auto &objects = m_objects[kind];
    if (const auto found = objects.find(name); found == objects.end() || found->second["spec"] != spec) {
        record(kind, false, { { "meta", { { "name", name }, { "revision", revision() + 1 } } }, { "spec", std::move(spec) } });
    }
    return revision();
}

void StoreStandin::putText(const std::string &kind, const std::string &name, std::string text)
{
    const std::string placeholder = "@text-" + std::to_string(m_texts.size()) + "@";
    m_texts.emplace(placeholder, std::move(text));
    put(kind, name, placeholder);
}

void StoreStandin::remove(const std::string &kind, const std::string &name)
{
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end()) {
        return;
    }
    Json object = found->second;
    object["meta"]["revision"] = revision() + 1;
    record(kind, true, std::move(object));
}

void StoreStandin::record(const std::string &kind, bool deleted, Json object)
{
    m_history.changes.push_back({ m_clock.now(), revision() + 1, kind, deleted, std::move(object) });
    apply(m_history.changes.back());
}

void StoreStandin::apply(const Change &change)
{
    const auto name = change.object["meta"]["name"].get<std::string>();
    if (change.deleted) {
        m_objects[change.kind].erase(name);
    } else {
        m_objects[change.kind][name] = change.object;
    }
}

std::uint64_t StoreStandin::revision() const
{
    return m_history.changes.empty() ? initialRevision : m_history.changes.back().revision;
}

void StoreStandin::compact()
{
    m_history.compactions.push_back({ m_clock.now(), revision() });
}

void StoreStandin::restore(std::chrono::milliseconds age)
{
    const TimePoint point = m_clock.now() - age;
    m_history.endedAt = m_clock.now();
    m_endedEras.push_back(m_history);
    // The copy may be from before an earlier restore, and then has the changes which that one lost.
    m_history = *std::find_if(m_endedEras.begin(), m_endedEras.end(), [point](const History &era) { return era.endedAt >= point; });
    const auto isLater = [point](const auto &entry) { return entry.at > point; };
    std::erase_if(m_history.changes, isLater);
    std::erase_if(m_history.compactions, isLater);
    m_objects.clear();
    for (const Change &change : m_history.changes) {
        apply(change);
    }
    m_restoredRevision = revision();
}

void StoreStandin::setUnavailable(bool unavailable)
{
    m_unavailable = unavailable;
}

asio::awaitable<std::optional<HttpResponse>> StoreStandin::handle(HttpRequest request)
{
    HttpResponse response = co_await respond(std::move(request));
    response.headers.add("Store-Era", std::to_string(m_endedEras.size() + 1));
    co_return response;
}

asio::awaitable<HttpResponse> StoreStandin::respond(HttpRequest request)
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
    const std::size_t era = m_endedEras.size();
    // A later change may have got the lost revision before this is checked.
    const auto isLost = [&] { return m_endedEras.size() != era && *watch > m_restoredRevision; };
    std::optional<HttpResponse> found = changes(kind, *watch, false);
    while (!found && !m_unavailable && std::chrono::steady_clock::now() < deadline) {
        timer.expires_after(watchPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
        found = isLost() ? HttpResponse::empty(410) : changes(kind, *watch, false);
    }
    co_return found ? *std::move(found) : changes(kind, *watch, true).value();
}

HttpResponse StoreStandin::jsonResponse(const Json &body) const
{
    std::string text = body.dump();
    for (const auto &[placeholder, content] : m_texts) {
        const std::string quoted = '"' + placeholder + '"';
        for (std::size_t at = text.find(quoted); at != std::string::npos; at = text.find(quoted, at + content.size())) {
            text.replace(at, quoted.size(), content);
        }
    }
    return HttpResponse::of(200, "application/json", std::move(text));
}

HttpResponse StoreStandin::list(const std::string &kind) const
{
    Json items = Json::array();
    if (const auto found = m_objects.find(kind); found != m_objects.end()) {
        for (const auto &[name, object] : found->second) {
            items.push_back(object);
        }
    }
    return jsonResponse({ { "items", items }, { "has_more", false }, { "store_revision", revision() } });
}

std::optional<HttpResponse> StoreStandin::changes(const std::string &kind, std::uint64_t after, bool includeEmpty) const
{
    const bool compacted = !m_history.compactions.empty() && after < m_history.compactions.back().revision;
    if (compacted || after > revision()) {
        return HttpResponse::empty(410);
    }
    Json events = Json::array();
    for (const Change &change : m_history.changes) {
        if (change.revision > after && change.kind == kind) {
            events.push_back({ { "deleted", change.deleted }, { "object", change.object } });
        }
    }
    if (events.empty() && !includeEmpty) {
        return std::nullopt;
    }
    return jsonResponse({ { "events", events }, { "store_revision", revision() } });
}

} // namespace Samphirepitch::Soak
