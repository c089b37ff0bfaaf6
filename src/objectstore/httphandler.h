#pragma once

#include "objectstore/httprequest.h"
#include "objectstore/httpresponse.h"

#include <asio/awaitable.hpp>

#include <optional>

namespace Samphirepitch
{

/** Request handler of an HttpServer. */
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /**
     * Must process a request and return its response. The server calls it concurrently for different connections, on its own
     * executor.
     * @return the response, or nothing to close the connection without a response
     */
    virtual asio::awaitable<std::optional<HttpResponse>> handle(HttpRequest request) = 0;
};

} // namespace Samphirepitch
