#pragma once

#include "objectstore/httprequest.h"
#include "objectstore/httpresponse.h"
#include "objectstore/platform.h"

#include <asio/any_io_executor.hpp>

#include <memory>
#include <vector>

namespace Samphirepitch
{

class HttpConnection;

/**
 * The platform's object API over HTTP/1.1 (docs/platform-api.md). Keeps connections open between calls; concurrent calls
 * use different connections. Nothing is retried: the caller decides by the kind of error.
 */
class HttpPlatform : public Platform
{
public:
    static constexpr std::size_t maxBodySize = 1024 * 1024; /**< bytes of an object */
    static constexpr std::size_t maxPages = 1000; /**< of one list; more are refused as Malformed */

    /**
     * @param executor runs all operations; single-threaded
     * @param clock must outlive the platform
     * @param address the platform's HTTP address
     * @return the platform, which must outlive its calls, or InvalidArgument
     */
    static Result<std::unique_ptr<HttpPlatform>> create(asio::any_io_executor executor, const Clock &clock, Endpoint address);

    ~HttpPlatform() override;

    asio::awaitable<Result<PlatformObject>> read(std::string key, TimePoint deadline) override;
    asio::awaitable<Result<std::uint64_t>> write(
        std::string key, std::string body, std::uint64_t expectedVersion, TimePoint deadline) override;
    asio::awaitable<Result<PlatformObject>> watch(std::string key, std::uint64_t knownVersion, TimePoint deadline) override;
    asio::awaitable<Result<std::vector<PlatformObject>>> list(std::string prefix, TimePoint deadline) override;
    asio::awaitable<Result<std::vector<ListedInstance>>> instances(TimePoint deadline) override;

private:
    HttpPlatform(asio::any_io_executor executor, const Clock &clock, Endpoint address);

    asio::awaitable<Result<HttpResponse>> sendRequest(HttpRequest request, TimePoint deadline);
    asio::awaitable<Result<HttpResponse>> get(std::string target, TimePoint deadline);

    /** Reads all pages of a list. @return the body of each page */
    asio::awaitable<Result<std::vector<std::string>>> readPages(std::string target, TimePoint deadline);
    Result<HttpResponse> toReadError(Error error, TimePoint deadline) const;

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    Endpoint m_address;
    std::vector<std::unique_ptr<HttpConnection>> m_idleConnections;
};

} // namespace Samphirepitch
