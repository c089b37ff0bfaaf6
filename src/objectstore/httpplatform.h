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
 * Client of the platform's object API over HTTP/1.1 (docs/platform-api.md).
 *
 * Connections are kept open between calls; concurrent calls use different connections. Calls are not retried, since only the
 * caller knows which kinds of error it can retry.
 */
class HttpPlatform : public Platform
{
public:
    static constexpr std::size_t maxBodySize = 1024 * 1024; /**< maximum size of an object in bytes */
    static constexpr std::size_t maxPages = 1000; /**< maximum pages of a list; a longer list fails with Malformed */

    /**
     * @param executor executor of all operations; must be single-threaded
     * @param clock must outlive the platform
     * @param address HTTP address of the platform
     * @return the client, which must outlive its calls; InvalidArgument if the IPv4 address or the port is 0
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

    /** Reads all pages of a list. @return the bodies of the pages; Malformed if the pages do not end */
    asio::awaitable<Result<std::vector<std::string>>> readPages(std::string target, TimePoint deadline);
    Result<HttpResponse> toReadError(Error error, TimePoint deadline) const;

    asio::any_io_executor m_executor;
    const Clock &m_clock;
    Endpoint m_address;
    std::vector<std::unique_ptr<HttpConnection>> m_idleConnections;
};

} // namespace Samphirepitch
