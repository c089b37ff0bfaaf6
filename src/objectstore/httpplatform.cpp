#include "objectstore/httpplatform.h"

#include "objectstore/decimal.h"
#include "objectstore/httpconnection.h"
#include "objectstore/platformcodec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Samphirepitch
{

namespace
{

constexpr std::size_t maxIdleConnections = 8;
constexpr std::chrono::milliseconds maxWatchRequest { 25000 }; // shorter than the usual idle timeouts of proxies
// The platform is asked to respond this long before the deadline of the caller, so that the connection can be reused.
constexpr std::chrono::milliseconds watchMargin { 100 };

std::string objectTarget(const std::string &key)
{
    return "/v1/objects/" + key;
}

/** Returns the version in the ETag, a decimal number in quotes; nothing if there is no such number. */
std::optional<std::uint64_t> versionFromETag(const HttpResponse &response)
{
    const std::string *const tag = response.headers.find("etag");
    if (tag == nullptr || tag->size() < 3 || tag->front() != '"' || tag->back() != '"') {
        return std::nullopt;
    }
    return parseDecimal(std::string_view(*tag).substr(1, tag->size() - 2));
}

/** Maps the status of an unsuccessful response to an error, for statuses that mean the same for reads and writes. */
Error statusError(const std::string &subject, const HttpResponse &response)
{
    switch (response.status) {
    case 400:
        return Error(ErrorKind::InvalidArgument, subject, "the platform does not accept the request: " + response.body.substr(0, 200));
    case 413:
        return Error(ErrorKind::TooLarge, subject, "the request is above the platform's limit of 1 MB");
    case 429:
        return Error(ErrorKind::RateLimited, subject, "the platform's rate limit was exceeded");
    case 503:
        return Error(ErrorKind::Unavailable, subject, "the platform reports an outage");
    default:
        return Error(ErrorKind::Malformed, subject, "unexpected HTTP status " + std::to_string(response.status));
    }
}

Result<PlatformObject> objectFromResponse(std::string key, HttpResponse response)
{
    if (response.status == 404) {
        return failure(ErrorKind::NotFound, std::move(key), "the object does not exist");
    }
    if (response.status != 200) {
        return tl::unexpected(statusError(key, response));
    }
    const auto version = versionFromETag(response);
    if (!version) {
        return failure(ErrorKind::Malformed, std::move(key), "the response has no version in its ETag");
    }
    if (response.body.size() > HttpPlatform::maxBodySize) {
        return failure(ErrorKind::TooLarge, std::move(key), "the object is larger than 1 MB");
    }
    return PlatformObject { std::move(key), std::move(response.body), *version };
}

Result<std::uint64_t> versionFromWriteResponse(const std::string &key, const HttpResponse &response)
{
    if (response.status == 200 || response.status == 201) {
        const auto version = versionFromETag(response);
        if (version) {
            return *version;
        }
        return failure(ErrorKind::OutcomeUnknown, key, "the response has no version in its ETag");
    }
    if (response.status == 412) {
        const auto version = versionFromETag(response);
        return failure(ErrorKind::VersionConflict, key,
            version ? "the current version is " + std::to_string(*version) : std::string("the object does not exist"));
    }
    const Error error = statusError(key, response);
    if (error.kind() == ErrorKind::Malformed) {
        return failure(ErrorKind::OutcomeUnknown, key, error.detail());
    }
    return tl::unexpected(error);
}

template<typename T>
Result<std::vector<T>> decodePages(const std::vector<std::string> &pages, Result<std::vector<T>> (*decode)(std::string_view))
{
    std::vector<T> all;
    for (const std::string &page : pages) {
        Result<std::vector<T>> values = decode(page);
        if (!values) {
            return values;
        }
        std::move(values->begin(), values->end(), std::back_inserter(all));
    }
    return all;
}

/** Returns whether an exchange failed before anything was sent. After any other error a write may have taken effect. */
bool failedBeforeSend(ErrorKind kind)
{
    return kind == ErrorKind::Unavailable || kind == ErrorKind::DeadlineExceeded;
}

Error invalidKeyError(const std::string &key)
{
    return Error(ErrorKind::InvalidArgument, key.substr(0, 200), "invalid key; use 1..200 bytes of a-z, 0-9, '-', '.', '/'");
}

} // namespace

Result<std::unique_ptr<HttpPlatform>> HttpPlatform::create(asio::any_io_executor executor, const Clock &clock, Endpoint address)
{
    if (address.address() == 0 || address.port() == 0) {
        return failure(ErrorKind::InvalidArgument, address.toString(), "the platform's address needs an IPv4 address and a port");
    }
    return std::unique_ptr<HttpPlatform>(new HttpPlatform(std::move(executor), clock, address));
}

HttpPlatform::HttpPlatform(asio::any_io_executor executor, const Clock &clock, Endpoint address)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_address(address)
{
}

HttpPlatform::~HttpPlatform() = default;

asio::awaitable<Result<HttpResponse>> HttpPlatform::sendRequest(HttpRequest request, TimePoint deadline)
{
    std::unique_ptr<HttpConnection> connection;
    if (m_idleConnections.empty()) {
        connection = std::make_unique<HttpConnection>(m_executor, m_clock, m_address);
    } else {
        connection = std::move(m_idleConnections.back());
        m_idleConnections.pop_back();
    }
    Result<HttpResponse> response = co_await connection->exchange(std::move(request), deadline);
    if (response && m_idleConnections.size() < maxIdleConnections) {
        m_idleConnections.push_back(std::move(connection));
    }
    co_return response;
}

Result<HttpResponse> HttpPlatform::toReadError(Error error, TimePoint deadline) const
{
    // A read has no effect, so its outcome is never unknown.
    if (error.kind() == ErrorKind::OutcomeUnknown) {
        const ErrorKind kind = m_clock.now() >= deadline ? ErrorKind::DeadlineExceeded : ErrorKind::Unavailable;
        return failure(kind, error.subject(), error.detail());
    }
    return tl::unexpected(std::move(error));
}

asio::awaitable<Result<HttpResponse>> HttpPlatform::get(std::string target, TimePoint deadline)
{
    HttpRequest request;
    request.target = std::move(target);
    Result<HttpResponse> response = co_await sendRequest(std::move(request), deadline);
    if (!response) {
        co_return toReadError(response.error(), deadline);
    }
    co_return response;
}

asio::awaitable<Result<PlatformObject>> HttpPlatform::read(std::string key, TimePoint deadline)
{
    if (!PlatformCodec::isKey(key)) {
        co_return tl::unexpected(invalidKeyError(key));
    }
    Result<HttpResponse> response = co_await get(objectTarget(key), deadline);
    if (!response) {
        co_return tl::unexpected(response.error());
    }
    co_return objectFromResponse(std::move(key), std::move(*response));
}

asio::awaitable<Result<std::uint64_t>> HttpPlatform::write(
    std::string key, std::string body, std::uint64_t expectedVersion, TimePoint deadline)
{
    if (!PlatformCodec::isKey(key)) {
        co_return tl::unexpected(invalidKeyError(key));
    }
    if (body.size() > maxBodySize) {
        co_return failure(ErrorKind::TooLarge, std::move(key), "the object is larger than 1 MB");
    }
    HttpRequest request;
    request.method = "PUT";
    request.target = objectTarget(key);
    request.body = std::move(body);
    if (expectedVersion == mustNotExist) {
        request.headers.add("if-none-match", "*");
    } else {
        request.headers.add("if-match", '"' + std::to_string(expectedVersion) + '"');
    }
    const Result<HttpResponse> response = co_await sendRequest(std::move(request), deadline);
    if (!response) {
        const ErrorKind kind = failedBeforeSend(response.error().kind()) ? response.error().kind() : ErrorKind::OutcomeUnknown;
        co_return failure(kind, std::move(key), response.error().detail());
    }
    co_return versionFromWriteResponse(key, *response);
}

asio::awaitable<Result<PlatformObject>> HttpPlatform::watch(std::string key, std::uint64_t knownVersion, TimePoint deadline)
{
    if (!PlatformCodec::isKey(key)) {
        co_return tl::unexpected(invalidKeyError(key));
    }
    while (m_clock.now() < deadline) {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - m_clock.now());
        const auto watchTimeout = std::min(maxWatchRequest, std::max(remaining - watchMargin, remaining / 2));
        Result<HttpResponse> response = co_await get(
            objectTarget(key) + "?watch=" + std::to_string(knownVersion) + "&timeout_ms=" + std::to_string(watchTimeout.count()), deadline);
        if (!response) {
            co_return tl::unexpected(response.error());
        }
        if (response->status != 304) {
            co_return objectFromResponse(std::move(key), std::move(*response));
        }
        if (watchTimeout < maxWatchRequest) {
            break;
        }
    }
    co_return failure(ErrorKind::DeadlineExceeded, std::move(key), "the object did not change before the deadline");
}

asio::awaitable<Result<std::vector<std::string>>> HttpPlatform::readPages(std::string target, TimePoint deadline)
{
    std::vector<std::string> bodies;
    std::string after;
    while (bodies.size() < maxPages) {
        std::string page = target;
        if (!after.empty()) {
            page += (target.find('?') == std::string::npos ? "?after=" : "&after=") + after;
        }
        Result<HttpResponse> response = co_await get(std::move(page), deadline);
        if (!response) {
            co_return tl::unexpected(response.error());
        }
        if (response->status != 200) {
            co_return tl::unexpected(statusError(target, *response));
        }
        bodies.push_back(std::move(response->body));
        const std::string *const next = response->headers.find("next-after");
        if (next == nullptr) {
            co_return bodies;
        }
        // A position that does not advance would cause an endless loop.
        if (!PlatformCodec::isKey(*next) || *next <= after) {
            break;
        }
        after = *next;
    }
    co_return failure(ErrorKind::Malformed, std::move(target), "the list has too many pages or its position does not advance");
}

asio::awaitable<Result<std::vector<PlatformObject>>> HttpPlatform::list(std::string prefix, TimePoint deadline)
{
    if (!PlatformCodec::isPrefix(prefix)) {
        co_return tl::unexpected(invalidKeyError(prefix));
    }
    const Result<std::vector<std::string>> bodies = co_await readPages("/v1/list?prefix=" + prefix, deadline);
    if (!bodies) {
        co_return tl::unexpected(bodies.error());
    }
    co_return decodePages(*bodies, PlatformCodec::decodeObjects);
}

asio::awaitable<Result<std::vector<ListedInstance>>> HttpPlatform::instances(TimePoint deadline)
{
    const Result<std::vector<std::string>> bodies = co_await readPages("/v1/instances", deadline);
    if (!bodies) {
        co_return tl::unexpected(bodies.error());
    }
    co_return decodePages(*bodies, PlatformCodec::decodeInstances);
}

} // namespace Samphirepitch
