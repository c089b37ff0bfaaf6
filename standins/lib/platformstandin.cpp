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
constexpr std::size_t maxPageSize = 512 * 1024; // bytes of JSON; a page with one larger entry has this entry alone
constexpr std::chrono::milliseconds maxWatch { 60000 };
constexpr std::string_view objectPath = "/v1/objects/";
constexpr std::string_view instancePath = "/standin/instances/";

HttpResponse withVersion(HttpResponse response, std::uint64_t version)
{
    response.headers.add("etag", '"' + std::to_string(version) + '"');
    return response;
}

HttpResponse json(std::string body)
{
    if (body.size() > maxListSize) {
        return HttpResponse::of(413, "text/plain", "the list is larger than one answer");
    }
    return HttpResponse::of(200, "application/json", std::move(body));
}

HttpResponse badRequest(std::string detail)
{
    return HttpResponse::of(400, "text/plain", std::move(detail));
}

/**
 * Returns the page of a sorted list behind the query parameter "after".
 * @param key the field that the list is sorted by
 */
template<typename T>
HttpResponse page(const HttpRequest &request, const std::vector<T> &list, std::string T::*key, std::string (*encode)(const T &))
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
    HttpResponse response = json(body + "]");
    if (entry != list.end()) {
        response.headers.add("next-after", (*std::prev(entry)).*key);
    }
    return response;
}

/** Reads If-Match or If-None-Match. @return the expected version, or nothing if there is no valid condition */
std::optional<std::uint64_t> expectedVersion(const HttpRequest &request)
{
    const std::string *const none = request.headers.find("if-none-match");
    const std::string *const match = request.headers.find("if-match");
    if (none != nullptr && match == nullptr && *none == "*") {
        return Platform::mustNotExist;
    }
    if (none != nullptr || match == nullptr) {
        return std::nullopt;
    }
    std::string_view text = *match;
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
    , m_reads(m_faults.readsPerSecond)
    , m_writes(m_faults.writesPerSecond)
{
}

asio::awaitable<std::optional<HttpResponse>> PlatformStandIn::handle(HttpRequest request)
{
    const std::string path(request.path());
    if (path.starts_with("/standin/")) {
        co_return admin(request);
    }
    co_await pauseFor(m_executor, m_faults.delay);
    if (path.starts_with(objectPath)) {
        co_return co_await object(std::move(request));
    }
    if (path == "/v1/list" && request.method == "GET") {
        co_return list(request);
    }
    if (path == "/v1/instances" && request.method == "GET") {
        co_return listInstances(request);
    }
    co_return HttpResponse::empty(404);
}

asio::awaitable<PlatformStandIn::Answer> PlatformStandIn::object(HttpRequest request)
{
    const std::string key(request.path().substr(objectPath.size()));
    if (!PlatformCodec::isKey(key)) {
        co_return badRequest("the key is not valid");
    }
    if (request.method == "PUT") {
        co_return write(key, request);
    }
    if (request.method != "GET") {
        co_return HttpResponse::empty(405);
    }
    const bool watching = request.query("watch").has_value();
    if (Answer refusal = admitRead(watching ? m_counters.watches : m_counters.reads)) {
        co_return refusal;
    }
    if (!watching) {
        co_return read(key);
    }
    const auto known = request.queryNumber("watch");
    const auto timeout = request.queryNumber("timeout_ms");
    if (!known || !timeout) {
        co_return badRequest("a watch needs watch=VERSION and timeout_ms=N");
    }
    co_return co_await watch(key, *known, std::chrono::milliseconds(std::min<std::uint64_t>(*timeout, maxWatch.count())));
}

asio::awaitable<PlatformStandIn::Answer> PlatformStandIn::watch(std::string key, std::uint64_t known, std::chrono::milliseconds timeout)
{
    const TimePoint deadline = m_clock.now() + timeout;
    while (m_store.version(key) == known) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - m_clock.now());
        const bool woken = co_await m_changes.wait(m_executor, std::max(remaining, std::chrono::milliseconds(0)));
        if (m_faults.outage) {
            co_return refuseOutage();
        }
        if (!woken && m_store.version(key) == known) {
            co_return HttpResponse::empty(304);
        }
    }
    co_await pauseFor(m_executor, m_faults.watchDelay);
    co_return read(key);
}

PlatformStandIn::Answer PlatformStandIn::read(const std::string &key) const
{
    const PlatformObject *const object = m_store.find(key);
    if (object == nullptr) {
        return HttpResponse::empty(404);
    }
    return withVersion(HttpResponse::of(200, "application/octet-stream", object->body), object->version);
}

PlatformStandIn::Answer PlatformStandIn::write(const std::string &key, HttpRequest &request)
{
    if (Answer refusal = admitWrite()) {
        return refusal;
    }
    if (request.body.size() > maxBodySize) {
        return HttpResponse::empty(413);
    }
    const auto expected = expectedVersion(request);
    if (!expected) {
        return badRequest("a write needs If-Match: VERSION or If-None-Match: *");
    }
    if (m_faults.dropWrites > 0) {
        --m_faults.dropWrites;
        ++m_counters.droppedWrites;
        return std::nullopt;
    }
    const auto version = m_store.write(key, std::move(request.body), *expected);
    if (version) {
        m_changes.notify();
    }
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        ++m_counters.lostAnswers;
        return std::nullopt;
    }
    if (!version) {
        ++m_counters.conflicts;
        const std::uint64_t current = m_store.version(key);
        return current == 0 ? HttpResponse::empty(412) : withVersion(HttpResponse::empty(412), current);
    }
    return withVersion(HttpResponse::empty(*expected == Platform::mustNotExist ? 201 : 200), *version);
}

PlatformStandIn::Answer PlatformStandIn::list(const HttpRequest &request)
{
    if (Answer refusal = admitRead(m_counters.lists)) {
        return refusal;
    }
    const std::string prefix = request.query("prefix").value_or("");
    if (!PlatformCodec::isPrefix(prefix)) {
        return badRequest("the prefix is not valid");
    }
    return page(request, m_store.list(prefix), &PlatformObject::key, PlatformCodec::encodeObject);
}

PlatformStandIn::Answer PlatformStandIn::listInstances(const HttpRequest &request)
{
    if (Answer refusal = admitRead(m_counters.instanceLists)) {
        return refusal;
    }
    return page(request, m_instances.visible(m_clock.now()), &ListedInstance::id, PlatformCodec::encodeInstance);
}

PlatformStandIn::Answer PlatformStandIn::admitRead(std::uint64_t &counter)
{
    ++counter;
    if (!m_reads.admit(m_clock.now())) {
        ++m_counters.rateLimited;
        return HttpResponse::empty(429);
    }
    return m_faults.outage ? refuseOutage() : std::nullopt;
}

PlatformStandIn::Answer PlatformStandIn::admitWrite()
{
    ++m_counters.writes;
    if (!m_writes.admit(m_clock.now())) {
        ++m_counters.rateLimited;
        return HttpResponse::empty(429);
    }
    return m_faults.outage ? refuseOutage() : std::nullopt;
}

PlatformStandIn::Answer PlatformStandIn::refuseOutage()
{
    ++m_counters.refusedByOutage;
    return HttpResponse::empty(503);
}

PlatformStandIn::Answer PlatformStandIn::admin(const HttpRequest &request)
{
    const std::string_view path = request.path();
    if (path == "/standin/counters" && request.method == "GET") {
        return json(counters().toJson());
    }
    if (path == "/standin/faults") {
        return changeFaultsBy(request);
    }
    if (path == "/standin/snapshot" && request.method == "POST") {
        m_store.takeSnapshot();
        return HttpResponse::empty(204);
    }
    if (path == "/standin/restore" && request.method == "POST") {
        m_store.restoreSnapshot();
        m_changes.notify();
        return HttpResponse::empty(204);
    }
    return path.starts_with(instancePath) ? changeInstance(request) : HttpResponse::empty(404);
}

PlatformStandIn::Answer PlatformStandIn::changeInstance(const HttpRequest &request)
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

PlatformStandIn::Answer PlatformStandIn::changeFaultsBy(const HttpRequest &request)
{
    if (request.method == "PUT") {
        const auto changed = m_faults.changedBy(request.body);
        if (!changed) {
            return badRequest(changed.error().describe());
        }
        changeFaults(*changed);
    }
    return json(m_faults.toJson());
}

void PlatformStandIn::changeFaults(const PlatformFaults &faults)
{
    m_faults = faults;
    m_reads.changeLimit(faults.readsPerSecond);
    m_writes.changeLimit(faults.writesPerSecond);
    m_instances.changeLag(faults.instanceLag);
    if (faults.outage) {
        m_changes.notify();
    }
}

const PlatformFaults &PlatformStandIn::faults() const
{
    return m_faults;
}

CallCounters PlatformStandIn::counters() const
{
    CallCounters counters = m_counters;
    counters.peakReads = m_reads.peak();
    counters.peakWrites = m_writes.peak();
    return counters;
}

ObjectStore &PlatformStandIn::store()
{
    return m_store;
}

LaggingInstances &PlatformStandIn::instances()
{
    return m_instances;
}

} // namespace Samphirepitch::StandIn
