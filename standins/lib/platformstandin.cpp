#include "lib/platformstandin.h"

#include "objectstore/decimal.h"
#include "objectstore/httplimits.h"
#include "objectstore/platformcodec.h"

#include <algorithm>
#include <utility>

namespace Samphirepitch::StandIn
{

namespace
{

constexpr std::size_t maxBodySize = 1024 * 1024; // bytes of an object
constexpr std::size_t maxListSize = HttpLimits().maxBodySize; // bytes of JSON
constexpr std::size_t maxPageSize = 512 * 1024; // bytes of JSON; a larger entry gets a page of its own
constexpr std::chrono::milliseconds maxWatchTime { 60000 };
constexpr std::string_view objectPath = "/v1/objects/";
constexpr std::string_view instancePath = "/standin/instances/";

HttpResponse addVersionHeader(HttpResponse response, std::uint64_t version)
{
    response.headers.add("etag", '"' + std::to_string(version) + '"');
    return response;
}

HttpResponse jsonResponse(std::string body)
{
    if (body.size() > maxListSize) {
        return HttpResponse::of(413, "text/plain", "the list exceeds the maximum size of a response");
    }
    return HttpResponse::of(200, "application/json", std::move(body));
}

HttpResponse badRequest(std::string detail)
{
    return HttpResponse::of(400, "text/plain", std::move(detail));
}

/**
 * Returns one page of a list as JSON. The header "next-after" is set if more entries follow.
 * @param request its query parameter "after" is the key behind which the page starts
 * @param list sorted entries
 * @param key field that the list is sorted by
 * @param encode returns the JSON of an entry
 */
template<typename T>
HttpResponse pageResponse(const HttpRequest &request, const std::vector<T> &list, std::string T::*key, std::string (*encode)(const T &))
{
    const std::string after = request.query("after").value_or("");
    auto entry
        = std::upper_bound(list.begin(), list.end(), after, [key](const std::string &left, const T &right) { return left < right.*key; });
    std::string body = "[";
    while (entry != list.end()) {
        const std::string text = encode(*entry);
        if (body.size() > 1 && body.size() + text.size() > maxPageSize) {
            break;
        }
        body += (body.size() > 1 ? "," : "") + text;
        ++entry;
    }
    HttpResponse response = jsonResponse(body + "]");
    if (entry != list.end()) {
        response.headers.add("next-after", (*std::prev(entry)).*key);
    }
    return response;
}

/** Parses If-Match or If-None-Match. @return the expected version; unset if there is not exactly one valid condition */
std::optional<std::uint64_t> expectedVersion(const HttpRequest &request)
{
    const std::string *const ifNoneMatch = request.headers.find("if-none-match");
    const std::string *const ifMatch = request.headers.find("if-match");
    if (ifNoneMatch != nullptr && ifMatch == nullptr && *ifNoneMatch == "*") {
        return Platform::mustNotExist;
    }
    if (ifNoneMatch != nullptr || ifMatch == nullptr) {
        return std::nullopt;
    }
    std::string_view text = *ifMatch;
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    const auto version = parseDecimal(text);
    return version && *version > 0 ? version : std::nullopt;
}

} // namespace

PlatformStandIn::PlatformStandIn(asio::any_io_executor executor, const Clock &clock)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_readLimiter(m_faults.readsPerSecond)
    , m_writeLimiter(m_faults.writesPerSecond)
{
}

asio::awaitable<std::optional<HttpResponse>> PlatformStandIn::handle(HttpRequest request)
{
    const std::string path(request.path());
    if (path.starts_with("/standin/")) {
        co_return handleAdmin(request);
    }
    co_await pauseFor(m_executor, m_faults.delay);
    if (path.starts_with(objectPath)) {
        co_return co_await handleObject(std::move(request));
    }
    if (path == "/v1/list" && request.method == "GET") {
        co_return handleList(request);
    }
    if (path == "/v1/instances" && request.method == "GET") {
        co_return handleInstanceList(request);
    }
    co_return HttpResponse::empty(404);
}

asio::awaitable<PlatformStandIn::Response> PlatformStandIn::handleObject(HttpRequest request)
{
    const std::string key(request.path().substr(objectPath.size()));
    if (!PlatformCodec::isKey(key)) {
        co_return badRequest("the object key is not valid");
    }
    if (request.method == "PUT") {
        co_return writeObject(key, request);
    }
    if (request.method != "GET") {
        co_return HttpResponse::empty(405);
    }
    const bool isWatch = request.query("watch").has_value();
    if (Response refusal = admitRead(isWatch ? m_counters.watches : m_counters.reads)) {
        co_return refusal;
    }
    if (!isWatch) {
        co_return readObject(key);
    }
    const auto knownVersion = request.queryNumber("watch");
    const auto timeout = request.queryNumber("timeout_ms");
    if (!knownVersion || !timeout) {
        co_return badRequest("a watch requires watch=VERSION and timeout_ms=N");
    }
    co_return co_await handleWatch(key, *knownVersion, std::chrono::milliseconds(std::min<std::uint64_t>(*timeout, maxWatchTime.count())));
}

asio::awaitable<PlatformStandIn::Response> PlatformStandIn::handleWatch(
    std::string key, std::uint64_t knownVersion, std::chrono::milliseconds timeout)
{
    const TimePoint deadline = m_clock.now() + timeout;
    while (m_store.version(key) == knownVersion) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - m_clock.now());
        const bool woken = co_await m_changeSignal.wait(m_executor, std::max(remaining, std::chrono::milliseconds(0)));
        if (m_faults.outage) {
            co_return refuseDuringOutage();
        }
        if (!woken && m_store.version(key) == knownVersion) {
            co_return HttpResponse::empty(304);
        }
    }
    co_await pauseFor(m_executor, m_faults.watchDelay);
    co_return readObject(key);
}

PlatformStandIn::Response PlatformStandIn::readObject(const std::string &key) const
{
    const PlatformObject *const object = m_store.find(key);
    if (object == nullptr) {
        return HttpResponse::empty(404);
    }
    return addVersionHeader(HttpResponse::of(200, "application/octet-stream", object->body), object->version);
}

PlatformStandIn::Response PlatformStandIn::writeObject(const std::string &key, HttpRequest &request)
{
    if (Response refusal = admitWrite()) {
        return refusal;
    }
    if (request.body.size() > maxBodySize) {
        return HttpResponse::empty(413);
    }
    const auto expected = expectedVersion(request);
    if (!expected) {
        return badRequest("a write requires If-Match: VERSION or If-None-Match: *");
    }
    if (m_faults.dropWrites > 0) {
        --m_faults.dropWrites;
        ++m_counters.droppedWrites;
        return std::nullopt;
    }
    const auto version = m_store.write(key, std::move(request.body), *expected);
    if (version) {
        m_changeSignal.notify();
    }
    if (m_faults.loseResponses > 0) {
        --m_faults.loseResponses;
        ++m_counters.lostResponses;
        return std::nullopt;
    }
    if (!version) {
        ++m_counters.conflicts;
        const std::uint64_t current = m_store.version(key);
        return current == 0 ? HttpResponse::empty(412) : addVersionHeader(HttpResponse::empty(412), current);
    }
    return addVersionHeader(HttpResponse::empty(*expected == Platform::mustNotExist ? 201 : 200), *version);
}

PlatformStandIn::Response PlatformStandIn::handleList(const HttpRequest &request)
{
    if (Response refusal = admitRead(m_counters.lists)) {
        return refusal;
    }
    const std::string prefix = request.query("prefix").value_or("");
    if (!PlatformCodec::isPrefix(prefix)) {
        return badRequest("the key prefix is not valid");
    }
    return pageResponse(request, m_store.list(prefix), &PlatformObject::key, PlatformCodec::encodeObject);
}

PlatformStandIn::Response PlatformStandIn::handleInstanceList(const HttpRequest &request)
{
    if (Response refusal = admitRead(m_counters.instanceLists)) {
        return refusal;
    }
    return pageResponse(request, m_instances.visibleAt(m_clock.now()), &ListedInstance::id, PlatformCodec::encodeInstance);
}

PlatformStandIn::Response PlatformStandIn::admitRead(std::uint64_t &counter)
{
    ++counter;
    if (!m_readLimiter.admit(m_clock.now())) {
        ++m_counters.rateLimited;
        return HttpResponse::empty(429);
    }
    return m_faults.outage ? refuseDuringOutage() : std::nullopt;
}

PlatformStandIn::Response PlatformStandIn::admitWrite()
{
    ++m_counters.writes;
    if (!m_writeLimiter.admit(m_clock.now())) {
        ++m_counters.rateLimited;
        return HttpResponse::empty(429);
    }
    return m_faults.outage ? refuseDuringOutage() : std::nullopt;
}

PlatformStandIn::Response PlatformStandIn::refuseDuringOutage()
{
    ++m_counters.refusedByOutage;
    return HttpResponse::empty(503);
}

PlatformStandIn::Response PlatformStandIn::handleAdmin(const HttpRequest &request)
{
    const std::string_view path = request.path();
    if (path == "/standin/counters" && request.method == "GET") {
        return jsonResponse(counters().toJson());
    }
    if (path == "/standin/faults") {
        return handleFaults(request);
    }
    if (path == "/standin/snapshot" && request.method == "POST") {
        m_store.takeSnapshot();
        return HttpResponse::empty(204);
    }
    if (path == "/standin/restore" && request.method == "POST") {
        m_store.restoreSnapshot();
        m_changeSignal.notify();
        return HttpResponse::empty(204);
    }
    return path.starts_with(instancePath) ? handleInstance(request) : HttpResponse::empty(404);
}

PlatformStandIn::Response PlatformStandIn::handleInstance(const HttpRequest &request)
{
    const std::string id(request.path().substr(instancePath.size()));
    if (request.method == "DELETE") {
        m_instances.remove(id, m_clock.now());
        return HttpResponse::empty(204);
    }
    if (request.method != "PUT") {
        return HttpResponse::empty(405);
    }
    auto instance = PlatformCodec::decodeInstance(request.body, id);
    if (!instance || instance->id != id) {
        return badRequest(instance ? "the id in the path differs from the one in the body" : instance.error().describe());
    }
    m_instances.put(std::move(*instance), m_clock.now());
    return HttpResponse::empty(204);
}

PlatformStandIn::Response PlatformStandIn::handleFaults(const HttpRequest &request)
{
    if (request.method == "PUT") {
        const auto changed = m_faults.withChanges(request.body);
        if (!changed) {
            return badRequest(changed.error().describe());
        }
        setFaults(*changed);
    }
    return jsonResponse(m_faults.toJson());
}

void PlatformStandIn::setFaults(const PlatformFaults &faults)
{
    m_faults = faults;
    m_readLimiter.setLimit(faults.readsPerSecond);
    m_writeLimiter.setLimit(faults.writesPerSecond);
    m_instances.setLag(faults.instanceLag);
    if (faults.outage) {
        m_changeSignal.notify();
    }
}

const PlatformFaults &PlatformStandIn::faults() const
{
    return m_faults;
}

CallCounters PlatformStandIn::counters() const
{
    CallCounters counters = m_counters;
    counters.peakReads = m_readLimiter.peakCalls();
    counters.peakWrites = m_writeLimiter.peakCalls();
    return counters;
}

ObjectStore &PlatformStandIn::store()
{
    return m_store;
}

DelayedInstanceList &PlatformStandIn::instances()
{
    return m_instances;
}

} // namespace Samphirepitch::StandIn
